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
 * Obtains grants from the owners of the cells. For its own callers this daemon acts as a client of the grant protocol; for
 * the cells that it owns, it also schedules the requests of all daemons. Ownership follows from the membership by
 * rendezvous hashing.
 */
public final class OwnedGrants implements GrantSource, Service {
    /** The service name under which the kernel registers the grant source. */
    public static final ServiceName<OwnedGrants> NAME = new ServiceName<>("grants", OwnedGrants.class);

    /** The peer channel for messages of the grant protocol. */
    static final String CHANNEL = "grants";

    /** Grants that depend on elapsed time are issued at the next tick, which delays them by half a tick on average. */
    private static final Duration TICK = Duration.ofMillis(20);

    /** Owners also change without a membership update, when the grace period of a suspected member ends. */
    private static final Duration OWNERS_PERIOD = Duration.ofMillis(250);

    private final SchedulerFactory schedulers;
    private final Map<String, CellRuntime> cells = new TreeMap<>();
    private final Map<String, List<CellRuntime>> byUpstream = new HashMap<>();
    private final Set<String> deadMembers = new HashSet<>();
    private final RandomGenerator random = RandomGenerator.getDefault();
    private volatile List<CellStatus> status = List.of();
    private ControlLoop loop;
    private Peers peers;
    private VmWatcher vms;
    private ConfigurationStore store;
    private CellContext context;
    private List<Member> members = List.of();

    /**
     * Creates a grant source without cells.
     *
     * @param schedulers creates the scheduler of each cell
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
        peers.registerListener(CHANNEL, this::onMessage);
        peers.onView(this::onMembershipChanged);
        store.onChange(configuration -> loop.execute(this::refresh));
        vms.onChange(list -> loop.execute(this::refresh));
        loop.schedulePeriodically(TICK, this::tick);
        loop.schedulePeriodically(OWNERS_PERIOD, this::updateOwners);
        return List.of();
    }

    @Override
    public void stop() {
        // The ticks end with the control loop; leases still held expire at their owner.
    }

    @Override
    public Mono<GrantResult> ask(String upstream, CellRequest request) {
        return Mono.create(sink -> loop.execute(() -> submit(upstream, request, sink)));
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
     * Returns the status of the cells as seen by this daemon, at most one second old.
     *
     * @return the statuses, sorted by cell key
     */
    public List<CellStatus> status() {
        return status;
    }

    /**
     * Returns the cells that this daemon owns. Must be called on the control loop.
     *
     * @return the owned cells with their workers
     */
    public List<CellWorkers> ownedCells() {
        return cells.values().stream()
                .filter(CellRuntime::isOwner)
                .map(CellRuntime::published)
                .toList();
    }

    /**
     * Returns the number of cells of an upstream. Must be called on the control loop.
     *
     * @param upstream the name of the upstream
     * @return the number of cells; 0 if the upstream is not configured
     */
    public int cellCount(String upstream) {
        return byUpstream.getOrDefault(upstream, List.of()).size();
    }

    /**
     * Returns the number of the latest grant of a cell, for use with {@link #hasGrantUpTo}. Must be called on the control
     * loop.
     *
     * @param cell the cell key
     * @return the grant number; 0 if this daemon does not own the cell
     */
    public long lastGrant(String cell) {
        return cells.get(cell).lastGrant();
    }

    /**
     * Returns whether a worker still has an active grant with a number up to the given one. Must be called on the control
     * loop.
     *
     * @param cell the cell key
     * @param worker the name of the worker
     * @param grantNumber the highest grant number to consider, as returned by {@link #lastGrant}
     * @return true if this daemon owns the cell and the worker has such a grant
     */
    public boolean hasGrantUpTo(String cell, String worker, long grantNumber) {
        return cells.get(cell).hasGrantUpTo(worker, grantNumber);
    }

    /** Records the load report of a worker. Must be called on the control loop. */
    void report(String cell, WorkerReport report) {
        cells.get(cell).recordLoadReport(report, loop.nowNanos());
    }

    private void submit(String upstream, CellRequest request, MonoSink<GrantResult> sink) {
        List<CellRuntime> candidates = byUpstream.getOrDefault(upstream, List.of());
        if (candidates.isEmpty()) {
            sink.success(new GrantResult.Refused(RefusalReason.NO_WORKER, 0));
            return;
        }
        CellRuntime cell = choose(candidates);
        // The cancel handler and the request number are set in the same control loop task. Otherwise a caller that
        // disconnects while its grant is in flight leaves the grant unused, and a worker slot stays empty as long
        // as the lease is renewed.
        AtomicLong askNumber = new AtomicLong();
        sink.onCancel(() -> loop.execute(() -> cell.cancel(askNumber.get(), loop.nowNanos())));
        askNumber.set(cell.ask(request, sink, loop.nowNanos()));
    }

    /**
     * Picks the cell with fewer outstanding requests of this daemon (power of two choices). Requests accumulate at a cell
     * whose owner is unreachable, so such a cell is avoided.
     */
    private CellRuntime choose(List<CellRuntime> candidates) {
        CellRuntime first = candidates.get(random.nextInt(candidates.size()));
        CellRuntime second = candidates.get(random.nextInt(candidates.size()));
        return first.outstanding() <= second.outstanding() ? first : second;
    }

    private void send(String member, GrantMessage message) {
        if (member.equals(peers.self())) {
            loop.execute(() -> dispatch(member, message));
        } else {
            peers.send(member, CHANNEL, GrantCodec.encode(message));
        }
    }

    private void onMessage(String from, byte[] body) {
        if (GrantCodec.decode(body) instanceof GrantCodec.Decoded.Message decoded) {
            dispatch(from, decoded.message());
        }
    }

    private void dispatch(String from, GrantMessage message) {
        CellRuntime cell = cells.get(message.cell());
        if (cell != null) {
            cell.onMessage(from, message, loop.nowNanos());
        }
    }

    private void onMembershipChanged(List<Member> newMembers) {
        members = newMembers;
        for (Member member : newMembers) {
            boolean dead = member.state() == MemberState.DEAD;
            if (dead && deadMembers.add(member.name())) {
                cells.values().forEach(cell -> cell.onClientDead(member.name(), loop.nowNanos()));
            } else if (!dead) {
                deadMembers.remove(member.name());
            }
        }
        updateOwners();
    }

    private void tick() {
        cells.values().forEach(cell -> cell.advance(loop.nowNanos()));
    }

    private void updateOwners() {
        Ownership ownership = new Ownership(members, Peers.SUSPECT_GRACE_NANOS, loop.nowNanos());
        Set<String> clientNames = clientNames();
        for (CellRuntime cell : cells.values()) {
            String owner = ownership
                    .owner(cell.published().cell().id())
                    .map(Member::name)
                    .orElse("");
            cell.updateOwner(owner, clientNames, loop.nowNanos());
        }
        status = cells.values().stream().map(CellRuntime::status).toList();
    }

    private Set<String> clientNames() {
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

    /** Updates the cells. A cell removed from the configuration is kept without workers for its remaining grants. */
    private void refresh(Configuration configuration) {
        Set<String> leaving = new HashSet<>();
        vms.vms().stream().filter(Vm::leaving).forEach(vm -> leaving.add(vm.name()));
        Map<String, CellWorkers> published = CellMap.of(configuration, leaving);
        List<String> daemons = List.copyOf(clientNames());
        byUpstream.clear();
        for (CellWorkers workers : published.values()) {
            CellRuntime cell =
                    cells.computeIfAbsent(workers.key(), key -> new CellRuntime(workers, peers.incarnation(), context));
            cell.updateWorkers(workers, daemons, loop.nowNanos());
            byUpstream
                    .computeIfAbsent(workers.upstream().name(), name -> new ArrayList<>())
                    .add(cell);
        }
        for (CellRuntime cell : cells.values()) {
            if (!published.containsKey(cell.published().key())) {
                cell.updateWorkers(cell.published().withoutWorkers(), daemons, loop.nowNanos());
            }
        }
        updateOwners();
    }
}
