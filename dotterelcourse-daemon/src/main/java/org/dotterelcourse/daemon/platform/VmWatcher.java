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

/** Polls the list of VMs. When it can't be read, the last list stays: a list that is late beats none. */
public final class VmWatcher implements Service {
    /** The name that it is found by. */
    public static final ServiceName<VmWatcher> NAME = new ServiceName<>("vm-watcher", VmWatcher.class);

    private static final Logger LOG = Logger.getLogger(VmWatcher.class);

    private final VmList source;
    private final List<Consumer<List<Vm>>> listeners = new CopyOnWriteArrayList<>();
    private AuditTrail audit;
    private Disposable polling;
    private volatile List<Vm> vms = List.of();

    /**
     * Makes a watcher.
     *
     * @param source the list
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
                .concatMap(tick -> source.read().onErrorResume(this::unreadable), 1)
                .subscribe(this::changed);
        return List.of();
    }

    @Override
    public void stop() {
        polling.dispose();
        listeners.clear();
    }

    /**
     * The newest list that could be read.
     *
     * @return the VMs, empty before the first list
     */
    public List<Vm> vms() {
        return vms;
    }

    /**
     * Calls back with the newest list and with every changed one.
     *
     * @param listener must not block
     */
    public void onChange(Consumer<List<Vm>> listener) {
        listeners.add(listener);
        listener.accept(vms);
    }

    private Mono<List<Vm>> unreadable(Throwable error) {
        LOG.debug("the list of VMs can't be read", error);
        return Mono.empty();
    }

    private void changed(List<Vm> next) {
        if (next.equals(vms)) {
            return;
        }
        Set<String> before = leaving(vms);
        vms = List.copyOf(next);
        for (String name : leaving(next)) {
            if (!before.contains(name)) {
                audit.add(AuditEvent.Kind.UPSTREAM, name, "the platform's list", "live", "leaving");
            }
        }
        listeners.forEach(listener -> listener.accept(vms));
    }

    private static Set<String> leaving(List<Vm> list) {
        return list.stream().filter(Vm::leaving).map(Vm::name).collect(Collectors.toSet());
    }
}
