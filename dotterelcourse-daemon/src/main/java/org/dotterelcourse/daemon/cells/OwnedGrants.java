package org.dotterelcourse.daemon.cells;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.random.RandomGenerator;

import org.dotterelcourse.configuration.Configuration;
import org.dotterelcourse.coordination.grant.GrantCodec;
import org.dotterelcourse.coordination.grant.GrantMessage;
import org.dotterelcourse.coordination.grant.GrantSettings;
import org.dotterelcourse.coordination.membership.Member;
import org.dotterelcourse.coordination.membership.MemberState;
import org.dotterelcourse.coordination.ownership.Ownership;
import org.dotterelcourse.daemon.audit.AuditTrail;
import org.dotterelcourse.daemon.dispatch.Grant;
import org.dotterelcourse.daemon.dispatch.GrantResult;
import org.dotterelcourse.daemon.dispatch.GrantSource;
import org.dotterelcourse.daemon.dispatch.SchedulerFactory;
import org.dotterelcourse.daemon.kernel.ControlLoop;
import org.dotterelcourse.daemon.kernel.Kernel;
import org.dotterelcourse.daemon.kernel.Service;
import org.dotterelcourse.daemon.kernel.ServiceName;
import org.dotterelcourse.daemon.kernel.StartupFailure;
import org.dotterelcourse.daemon.peers.Peers;
import org.dotterelcourse.daemon.platform.ConfigurationStore;
import org.dotterelcourse.daemon.platform.Vm;
import org.dotterelcourse.daemon.platform.VmWatcher;
import org.dotterelcourse.policy.cell.CellRequest;
import org.dotterelcourse.policy.cell.Completion;
import org.dotterelcourse.policy.cell.RefusalReason;
import org.dotterelcourse.policy.cell.WorkerReport;
import reactor.core.publisher.Mono;
import reactor.core.publisher.MonoSink;

/**
 * Grants from the owners of the cells, of which this daemon is one: it asks for its own callers, and holds the queues of
 * the cells that are its own.
 */
public final class OwnedGrants implements GrantSource, Service {
    /** The name that it is found by. */
    public static final ServiceName<OwnedGrants> NAME = new ServiceName<>("grants", OwnedGrants.class);

    /** The channel of the grant protocol. */
    static final String CHANNEL = "grants";

    /** A grant that becomes possible by the passing of time waits for the next tick; half of this is added at most. */
    private static final Duration TICK = Duration.ofMillis(20);

    /** Owners also change without news, when a suspect's grace runs out. */
    private static final Duration OWNERS_PERIOD = Duration.ofMillis(250);

    private final SchedulerFactory schedulers;
    private final Map<String, CellRuntime> cells = new TreeMap<>();
    private final Map<String, List<CellRuntime>> byUpstream = new HashMap<>();
    private final Set<String> gone = new HashSet<>();
    private final RandomGenerator random = RandomGenerator.getDefault();
    private volatile List<CellStatus> status = List.of();
    private ControlLoop loop;
    private Peers peers;
    private VmWatcher vms;
    private ConfigurationStore store;
    private CellContext context;
    private List<Member> members = List.of();

    /**
     * Makes a source without cells.
     *
     * @param schedulers makes the scheduler of each cell
     */
    public OwnedGrants(SchedulerFactory schedulers) {
        this.schedulers = schedulers;
    }

    @Override
    public ServiceName<OwnedGrants> name() {
        return NAME;
    }

    @Override
    public List<ServiceName<?>> dependencies() {
        return List.of(ControlLoop.NAME, ConfigurationStore.NAME, VmWatcher.NAME, Peers.NAME, AuditTrail.NAME);
    }

    @Override
    public List<StartupFailure> start(Kernel kernel) {
        loop = kernel.find(ControlLoop.NAME);
        peers = kernel.find(Peers.NAME);
        vms = kernel.find(VmWatcher.NAME);
        store = kernel.find(ConfigurationStore.NAME);
        context = new CellContext(
                peers.self(),
                GrantSettings.builder().build(),
                schedulers,
                random,
                this::send,
                kernel.find(AuditTrail.NAME));
        peers.registerListener(CHANNEL, this::received);
        peers.onView(this::view);
        store.onChange(configuration -> loop.execute(this::refresh));
        vms.onChange(list -> loop.execute(this::refresh));
        loop.schedulePeriodically(TICK, this::tick);
        loop.schedulePeriodically(OWNERS_PERIOD, this::owners);
        return List.of();
    }

    @Override
    public void stop() {
        // The control loop ends the ticks; a lease that is still out ends at its owner.
    }

    @Override
    public Mono<GrantResult> ask(String upstream, CellRequest ask) {
        return Mono.create(sink -> loop.execute(() -> offer(upstream, ask, sink)));
    }

    @Override
    public Mono<Boolean> mayUse(Grant grant) {
        return Mono.create(sink -> loop.execute(() -> {
            CellRuntime cell = cells.get(grant.cell());
            sink.success(cell != null && cell.mayUse(grant.ask(), loop.nowNanos()));
        }));
    }

    @Override
    public void progress(Grant grant, int outputTokens) {
        loop.execute(() -> cells.get(grant.cell()).progress(grant.ask(), outputTokens, loop.nowNanos()));
    }

    @Override
    public void release(Grant grant, Completion completion) {
        loop.execute(() -> cells.get(grant.cell()).release(grant.ask(), completion, loop.nowNanos()));
    }

    /**
     * The cells as this daemon sees them, not older than a second.
     *
     * @return sorted by name
     */
    public List<CellStatus> status() {
        return status;
    }

    /**
     * The cells that this daemon owns. For the control loop.
     *
     * @return them, with their workers
     */
    public List<CellWorkers> ownedCells() {
        return cells.values().stream()
                .filter(CellRuntime::isOwner)
                .map(CellRuntime::published)
                .toList();
    }

    /**
     * Into how many cells an upstream is cut. For the control loop.
     *
     * @param upstream its name
     * @return the number
     */
    public int cellsOf(String upstream) {
        return byUpstream.getOrDefault(upstream, List.of()).size();
    }

    /**
     * The newest grant of an own cell, as a mark for {@link #hasGrantUpTo}. For the control loop.
     *
     * @param cell the cell
     * @return its number
     */
    public long lastGrant(String cell) {
        return cells.get(cell).lastGrant();
    }

    /**
     * Whether a worker of an own cell still runs something that was granted no later than a mark. For the control loop.
     *
     * @param cell the cell
     * @param worker the worker's name
     * @param mark what {@link #lastGrant} said
     * @return true if so
     */
    public boolean hasGrantUpTo(String cell, String worker, long mark) {
        return cells.get(cell).hasGrantUpTo(worker, mark);
    }

    /** Takes a worker's load report. For the control loop. */
    void report(String cell, WorkerReport report) {
        cells.get(cell).report(report, loop.nowNanos());
    }

    private void offer(String upstream, CellRequest ask, MonoSink<GrantResult> sink) {
        List<CellRuntime> candidates = byUpstream.getOrDefault(upstream, List.of());
        if (candidates.isEmpty()) {
            sink.success(new GrantResult.Refused(RefusalReason.NO_WORKER, 0));
            return;
        }
        CellRuntime cell = choose(candidates);
        // Number and hook are tied together on the loop: a caller that goes away while its grant is on the way would
        // else leave the grant without a holder, and a place at the worker empty for as long as the lease is renewed.
        AtomicLong number = new AtomicLong();
        sink.onCancel(() -> loop.execute(() -> cell.cancel(number.get(), loop.nowNanos())));
        number.set(cell.ask(ask, sink, loop.nowNanos()));
    }

    /** The better of two random cells by what this daemon has out there: one that it can't get through to is left. */
    private CellRuntime choose(List<CellRuntime> candidates) {
        CellRuntime one = candidates.get(random.nextInt(candidates.size()));
        CellRuntime two = candidates.get(random.nextInt(candidates.size()));
        return one.outstanding() <= two.outstanding() ? one : two;
    }

    private void send(String member, GrantMessage message) {
        if (member.equals(peers.self())) {
            loop.execute(() -> dispatch(member, message));
        } else {
            peers.send(member, CHANNEL, GrantCodec.encode(message));
        }
    }

    private void received(String from, byte[] body) {
        if (GrantCodec.decode(body) instanceof GrantCodec.Decoded.Message decoded) {
            dispatch(from, decoded.message());
        }
    }

    private void dispatch(String from, GrantMessage message) {
        CellRuntime cell = cells.get(message.cell());
        if (cell != null) {
            cell.received(from, message, loop.nowNanos());
        }
    }

    private void view(List<Member> next) {
        members = next;
        for (Member member : next) {
            boolean dead = member.state() == MemberState.DEAD;
            if (dead && gone.add(member.name())) {
                cells.values().forEach(cell -> cell.askerGone(member.name(), loop.nowNanos()));
            } else if (!dead) {
                gone.remove(member.name());
            }
        }
        owners();
    }

    private void tick() {
        cells.values().forEach(cell -> cell.advance(loop.nowNanos()));
    }

    private void owners() {
        Ownership ownership = new Ownership(members, Peers.SUSPECT_GRACE_NANOS, loop.nowNanos());
        Set<String> askers = askers();
        for (CellRuntime cell : cells.values()) {
            String owner = ownership
                    .owner(cell.published().cell().id())
                    .map(Member::name)
                    .orElse("");
            cell.ownerIs(owner, askers, loop.nowNanos());
        }
        status = cells.values().stream().map(CellRuntime::status).toList();
    }

    private Set<String> askers() {
        Set<String> names = new HashSet<>(Set.of(peers.self()));
        for (Member member : members) {
            if (member.state() != MemberState.DEAD) {
                names.add(member.name());
            }
        }
        return names;
    }

    private void refresh() {
        store.inForce().ifPresent(this::refresh);
    }

    /** A cell that has left the configuration stays, without workers, for the grants that are still out. */
    private void refresh(Configuration configuration) {
        Set<String> leaving = new HashSet<>();
        vms.vms().stream().filter(Vm::leaving).forEach(vm -> leaving.add(vm.name()));
        Map<String, CellWorkers> published = CellMap.of(configuration, leaving);
        List<String> daemons = List.copyOf(askers());
        byUpstream.clear();
        for (CellWorkers workers : published.values()) {
            CellRuntime cell =
                    cells.computeIfAbsent(workers.key(), key -> new CellRuntime(workers, peers.incarnation(), context));
            cell.workers(workers, daemons, loop.nowNanos());
            byUpstream
                    .computeIfAbsent(workers.upstream().name(), name -> new ArrayList<>())
                    .add(cell);
        }
        for (CellRuntime cell : cells.values()) {
            if (!published.containsKey(cell.published().key())) {
                cell.workers(cell.published().emptied(), daemons, loop.nowNanos());
            }
        }
        owners();
    }
}
