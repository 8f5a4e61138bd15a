package org.dotterelcourse.daemon.platform;

import java.time.Duration;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;
import java.util.stream.Collectors;

import org.dotterelcourse.daemon.audit.AuditEvent;
import org.dotterelcourse.daemon.audit.AuditTrail;
import org.dotterelcourse.daemon.kernel.Kernel;
import org.dotterelcourse.daemon.kernel.Service;
import org.dotterelcourse.daemon.kernel.ServiceName;
import org.dotterelcourse.daemon.kernel.StartupFailure;
import org.jboss.logging.Logger;
import reactor.core.Disposable;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/**
 * Polls the list of VMs and notifies listeners of changes. The last list stays in use while the list can't be read,
 * because an outdated list is better than none.
 */
public final class VmWatcher implements Service {
    /** Name under which the kernel registers this service. */
    public static final ServiceName<VmWatcher> NAME = new ServiceName<>("vm-watcher", VmWatcher.class);

    private static final Logger LOG = Logger.getLogger(VmWatcher.class);

    private final VmList source;
    private final List<Consumer<List<Vm>>> listeners = new CopyOnWriteArrayList<>();
    private AuditTrail audit;
    private Disposable polling;
    private volatile List<Vm> vms = List.of();

    /**
     * Creates a watcher.
     *
     * @param source client that reads the list
     */
    public VmWatcher(VmList source) {
        this.source = source;
    }

    @Override
    public ServiceName<VmWatcher> name() {
        return NAME;
    }

    @Override
    public List<ServiceName<?>> dependencies() {
        return List.of(AuditTrail.NAME);
    }

    @Override
    public List<StartupFailure> start(Kernel kernel) {
        audit = kernel.find(AuditTrail.NAME);
        polling = Flux.interval(Duration.ZERO, source.period())
                .onBackpressureDrop()
                .concatMap(tick -> source.read().onErrorResume(this::onReadFailure), 1)
                .subscribe(this::update);
        return List.of();
    }

    @Override
    public void stop() {
        polling.dispose();
        listeners.clear();
    }

    /**
     * Returns the last list that was read successfully.
     *
     * @return the VMs; empty before the first successful read
     */
    public List<Vm> vms() {
        return vms;
    }

    /**
     * Adds a listener and calls it with the current list and with every changed one.
     *
     * @param listener called on the thread that adds the listener or reads the list; must not block
     */
    public void onChange(Consumer<List<Vm>> listener) {
        listeners.add(listener);
        listener.accept(vms);
    }

    private Mono<List<Vm>> onReadFailure(Throwable error) {
        LOG.debug("read of the list of VMs failed; keeping the last list", error);
        return Mono.empty();
    }

    private void update(List<Vm> next) {
        if (next.equals(vms)) {
            return;
        }
        Set<String> previouslyLeaving = leavingNames(vms);
        vms = List.copyOf(next);
        for (String name : leavingNames(next)) {
            if (!previouslyLeaving.contains(name)) {
                audit.add(AuditEvent.Kind.UPSTREAM, name, "the platform's list", "live", "leaving");
            }
        }
        listeners.forEach(listener -> listener.accept(vms));
    }

    private static Set<String> leavingNames(List<Vm> list) {
        return list.stream().filter(Vm::leaving).map(Vm::name).collect(Collectors.toSet());
    }
}
