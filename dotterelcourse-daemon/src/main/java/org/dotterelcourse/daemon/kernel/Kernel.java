package org.dotterelcourse.daemon.kernel;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Registry of the services of a process. Starts them in dependency order (depth-first topological sort) and stops them in
 * reverse order.
 */
public final class Kernel {
    private final Map<String, Service> services = new LinkedHashMap<>();
    private final List<StartupFailure> registrationFailures = new ArrayList<>();
    private final List<Service> started = new ArrayList<>();

    /**
     * Registers a service. If the name is already registered, {@link #start()} reports it as a failure.
     *
     * @param service the service, not yet started
     * @return this kernel
     */
    public Kernel register(Service service) {
        Service existing = services.putIfAbsent(service.name().value(), service);
        if (existing != null) {
            registrationFailures.add(
                    new StartupFailure(service.name().value(), "more than one service is registered under this name"));
        }
        return this;
    }

    /**
     * Returns the service of a name.
     *
     * @param name name and type of the service
     * @param <T> the type through which the service is used
     * @return the service, which has started if the caller declares it as a dependency
     * @throws IllegalStateException if no service of that name and type is registered
     */
    public <T> T find(ServiceName<T> name) {
        Service service = services.get(name.value());
        if (!name.type().isInstance(service)) {
            throw new IllegalStateException("no service " + name + " of type " + name.type());
        }
        return name.type().cast(service);
    }

    /**
     * Starts all services. If a dependency is missing or cyclic, none is started. If a service fails to start, those
     * already started are stopped again.
     *
     * @return all reasons why the process could not start; empty if it is running
     */
    public List<StartupFailure> start() {
        List<StartupFailure> failures = new ArrayList<>(registrationFailures);
        List<Service> order = startOrder(failures);
        if (!failures.isEmpty()) {
            return failures;
        }
        for (Service service : order) {
            failures.addAll(service.start(this));
            if (!failures.isEmpty()) {
                stop();
                return failures;
            }
            started.add(service);
        }
        return failures;
    }

    /** Stops all started services in the reverse order of their start. */
    public void stop() {
        for (int i = started.size() - 1; i >= 0; i--) {
            started.get(i).stop();
        }
        started.clear();
    }

    private List<Service> startOrder(List<StartupFailure> failures) {
        List<Service> order = new ArrayList<>();
        Set<String> visited = new HashSet<>();
        for (Service service : services.values()) {
            visit(service, new ArrayList<>(), visited, order, failures);
        }
        return order;
    }

    private void visit(
            Service service,
            List<String> path,
            Set<String> visited,
            List<Service> order,
            List<StartupFailure> failures) {
        String name = service.name().value();
        if (path.contains(name)) {
            failures.add(new StartupFailure(name, "cyclic dependency through " + path));
            return;
        }
        if (!visited.add(name)) {
            return;
        }
        path.add(name);
        for (ServiceName<?> dependency : service.dependencies()) {
            Service required = services.get(dependency.value());
            if (required == null) {
                failures.add(
                        new StartupFailure(name, "depends on the service " + dependency + ", which is not registered"));
            } else {
                visit(required, path, visited, order, failures);
            }
        }
        path.remove(name);
        order.add(service);
    }
}
