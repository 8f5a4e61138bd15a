package org.dotterelcourse.daemon.kernel;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Holds the daemon's services, starts them in the order of their dependencies (depth-first topological sort) and stops
 * them in the reverse order.
 */
public final class Kernel {
    private final Map<String, Service> services = new LinkedHashMap<>();
    private final List<StartupFailure> registration = new ArrayList<>();
    private final List<Service> started = new ArrayList<>();

    /**
     * Adds a service. A second one of the same name is a finding of {@link #start()}.
     *
     * @param service the service, not yet started
     * @return this kernel
     */
    public Kernel register(Service service) {
        Service earlier = services.putIfAbsent(service.name().value(), service);
        if (earlier != null) {
            registration.add(new StartupFailure(service.name().value(), "registered twice"));
        }
        return this;
    }

    /**
     * Finds a service.
     *
     * @param name its name
     * @param <T> what it is used as
     * @return the service
     * @throws IllegalStateException if there is none of that name and type: a dependency was not declared
     */
    public <T> T find(ServiceName<T> name) {
        Service service = services.get(name.value());
        if (!name.type().isInstance(service)) {
            throw new IllegalStateException("no service " + name + " of " + name.type());
        }
        return name.type().cast(service);
    }

    /**
     * Starts every service. If the services don't fit together nothing is started; if one fails, those that had
     * started are stopped again.
     *
     * @return everything that kept the daemon from starting, empty if it runs
     */
    public List<StartupFailure> start() {
        List<StartupFailure> findings = new ArrayList<>(registration);
        List<Service> order = order(findings);
        if (!findings.isEmpty()) {
            return findings;
        }
        for (Service service : order) {
            findings.addAll(service.start(this));
            if (!findings.isEmpty()) {
                stop();
                return findings;
            }
            started.add(service);
        }
        return findings;
    }

    /** Stops what runs, last started first. */
    public void stop() {
        for (int i = started.size() - 1; i >= 0; i--) {
            started.get(i).stop();
        }
        started.clear();
    }

    private List<Service> order(List<StartupFailure> findings) {
        List<Service> order = new ArrayList<>();
        Set<String> done = new HashSet<>();
        for (Service service : services.values()) {
            visit(service, new ArrayList<>(), done, order, findings);
        }
        return order;
    }

    private void visit(
            Service service, List<String> path, Set<String> done, List<Service> order, List<StartupFailure> findings) {
        String name = service.name().value();
        if (path.contains(name)) {
            findings.add(new StartupFailure(name, "depends on itself by way of " + path));
            return;
        }
        if (!done.add(name)) {
            return;
        }
        path.add(name);
        for (ServiceName<?> dependency : service.dependencies()) {
            Service needed = services.get(dependency.value());
            if (needed == null) {
                findings.add(new StartupFailure(name, "needs the service " + dependency + ", which is not registered"));
            } else {
                visit(needed, path, done, order, findings);
            }
        }
        path.remove(name);
        order.add(service);
    }
}
