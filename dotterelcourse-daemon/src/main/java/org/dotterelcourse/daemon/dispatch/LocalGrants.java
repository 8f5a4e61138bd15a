package org.dotterelcourse.daemon.dispatch;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.dotterelcourse.configuration.Configuration;
import org.dotterelcourse.configuration.Upstream;
import org.dotterelcourse.daemon.kernel.ControlLoop;
import org.dotterelcourse.daemon.kernel.Kernel;
import org.dotterelcourse.daemon.kernel.Service;
import org.dotterelcourse.daemon.kernel.ServiceName;
import org.dotterelcourse.daemon.kernel.StartFinding;
import org.dotterelcourse.daemon.platform.ConfigurationStore;
import org.dotterelcourse.daemon.platform.Vm;
import org.dotterelcourse.daemon.platform.VmWatcher;
import org.dotterelcourse.policy.cell.Ask;
import org.dotterelcourse.policy.cell.Completion;
import org.dotterelcourse.policy.cell.RefusalReason;
import org.dotterelcourse.policy.cell.WorkerInfo;
import reactor.core.publisher.Mono;
import reactor.core.publisher.MonoSink;

/**
 * Grants from this daemon's own schedulers, one a cell, as if it were alone before the workers: the baseline that owners
 * are measured against.
 */
public final class LocalGrants implements GrantSource, Service {
    /** The name that it is found by. */
    public static final ServiceName<GrantSource> NAME = new ServiceName<>("grants", GrantSource.class);

    private static final Duration TICK = Duration.ofMillis(20);

    private final SchedulerFactory schedulers;
    private final Map<String, LocalCell> cells = new HashMap<>();
    private ControlLoop loop;
    private VmWatcher vms;
    private ConfigurationStore store;

    /**
     * Makes a source without cells.
     *
     * @param schedulers makes the scheduler of each cell
     */
    public LocalGrants(SchedulerFactory schedulers) {
        this.schedulers = schedulers;
    }

    @Override
    public ServiceName<?> name() {
        return NAME;
    }

    @Override
    public List<ServiceName<?>> dependencies() {
        return List.of(ControlLoop.NAME, ConfigurationStore.NAME, VmWatcher.NAME);
    }

    @Override
    public List<StartFinding> start(Kernel kernel) {
        loop = kernel.find(ControlLoop.NAME);
        vms = kernel.find(VmWatcher.NAME);
        store = kernel.find(ConfigurationStore.NAME);
        store.onChange(configuration -> loop.execute(this::refresh));
        vms.onChange(list -> loop.execute(this::refresh));
        loop.every(TICK, () -> cells.values().forEach(cell -> cell.advance(loop.nowNanos())));
        return List.of();
    }

    @Override
    public void stop() {
        // The control loop ends the ticks; grants that are out end with their connections.
    }

    @Override
    public Mono<GrantResult> ask(String upstream, Ask ask) {
        return Mono.create(sink -> {
            sink.onCancel(() -> loop.execute(() -> cancel(upstream, ask.id())));
            loop.execute(() -> offer(upstream, ask, sink));
        });
    }

    @Override
    public void progress(Grant grant, int outputTokens) {
        loop.execute(() -> cells.get(grant.cell()).progress(grant, outputTokens, loop.nowNanos()));
    }

    @Override
    public void release(Grant grant, Completion completion) {
        loop.execute(() -> cells.get(grant.cell()).release(grant, completion, loop.nowNanos()));
    }

    @Override
    public boolean mayUse(Grant grant) {
        return true;
    }

    private void offer(String upstream, Ask ask, MonoSink<GrantResult> sink) {
        LocalCell cell = cells.get(upstream);
        if (cell == null) {
            sink.success(new GrantResult.Refused(RefusalReason.NO_WORKER, 0));
            return;
        }
        cell.offer(ask, sink, loop.nowNanos());
    }

    private void cancel(String upstream, String askId) {
        LocalCell cell = cells.get(upstream);
        if (cell != null) {
            cell.cancel(askId, loop.nowNanos());
        }
    }

    private void refresh() {
        store.inForce().ifPresent(this::refresh);
    }

    /** A cell whose upstream has left the configuration stays, without workers, until its last grant is back. */
    private void refresh(Configuration configuration) {
        Set<String> gone = new HashSet<>(cells.keySet());
        for (Upstream upstream : configuration.upstreams()) {
            gone.remove(upstream.name());
            LocalCell cell = cells.computeIfAbsent(upstream.name(), this::create);
            cell.workers(upstream.workers(), infos(upstream), loop.nowNanos());
        }
        gone.forEach(name -> cells.get(name).workers(List.of(), List.of(), loop.nowNanos()));
    }

    private LocalCell create(String name) {
        return new LocalCell(name, schedulers.create(name));
    }

    private List<WorkerInfo> infos(Upstream upstream) {
        Set<String> leaving = new HashSet<>();
        vms.vms().stream().filter(Vm::leaving).forEach(vm -> leaving.add(vm.name()));
        return upstream.workers().stream()
                .map(worker -> new WorkerInfo(
                        worker.name(), worker.dataCentre(), upstream.concurrency(), leaving.contains(worker.name())))
                .toList();
    }
}
