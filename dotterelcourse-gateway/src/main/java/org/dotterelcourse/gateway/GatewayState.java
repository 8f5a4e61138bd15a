package org.dotterelcourse.gateway;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;

import org.dotterelcourse.daemon.audit.AuditEvent;
import org.dotterelcourse.daemon.audit.AuditTrail;
import org.dotterelcourse.daemon.kernel.Kernel;
import org.dotterelcourse.daemon.kernel.Service;
import org.dotterelcourse.daemon.kernel.ServiceName;
import org.dotterelcourse.daemon.kernel.StartupFailure;
import org.dotterelcourse.gateway.routing.RoutingTable;
import org.dotterelcourse.gateway.workers.WorkerEntry;
import org.dotterelcourse.gateway.workers.Workers;
import org.dotterelcourse.policy.quarantine.CrashNotice;
import org.dotterelcourse.policy.quarantine.RequestQuarantine;
import org.dotterelcourse.policy.rate.LimitNotice;
import org.dotterelcourse.policy.rate.WorkerLimits;
import org.dotterelcourse.policy.repeat.WindowedRetryBudget;
import org.dotterelcourse.policy.selection.CachedPrefixes;
import org.dotterelcourse.policy.selection.EngineModel;
import org.dotterelcourse.policy.selection.EnginePartition;

/** What the gateway believes: the routing table in force, the workers, the budgets. Used on the gateway's loop only. */
public final class GatewayState implements Service {
    /** The name that it is found by. */
    public static final ServiceName<GatewayState> NAME = new ServiceName<>("gateway-state", GatewayState.class);

    private final Workers workers = new Workers();
    private final Map<String, WindowedRetryBudget> budgets = new HashMap<>();
    private final Map<String, EnginePartition> enginePartitions = new HashMap<>();
    private final Map<String, EngineModel> models = new HashMap<>();
    private final RequestQuarantine quarantine = new RequestQuarantine();
    private final CachedPrefixes cachedPrefixes = new CachedPrefixes();
    private final RetryLimit limit;
    private AuditTrail audit;
    private volatile RoutingTable table;
    private volatile boolean workersLoaded;
    private int processes = 1;
    private int reachableProcesses = 1;

    /**
     * The fleet's bound on repeats to one upstream.
     *
     * @param ratio repeats for each request
     * @param extra repeats in a window beside these, of all processes together
     * @param windowNanos the window's length
     */
    public record RetryLimit(double ratio, double extra, long windowNanos) {}

    /**
     * Makes a state that knows nothing.
     *
     * @param limit the bound on repeats
     */
    public GatewayState(RetryLimit limit) {
        this.limit = limit;
    }

    @Override
    public ServiceName<GatewayState> name() {
        return NAME;
    }

    @Override
    public List<ServiceName<?>> dependencies() {
        return List.of(AuditTrail.NAME);
    }

    @Override
    public List<StartupFailure> start(Kernel kernel) {
        audit = kernel.find(AuditTrail.NAME);
        return List.of();
    }

    @Override
    public void stop() {
        // It holds no resources.
    }

    /**
     * The routing table in force.
     *
     * @return empty until one is known
     */
    public Optional<RoutingTable> table() {
        return Optional.ofNullable(table);
    }

    /**
     * Puts a routing table in force, unless one with a higher number is.
     *
     * @param next the table
     */
    public void activate(RoutingTable next) {
        long before = table == null ? 0 : table.number();
        if (next.number() <= before) {
            return;
        }
        table = next;
        workers.upstreams(next::hasUpstream, upstream -> next.upstream(upstream).coldStart());
        audit.add(AuditEvent.Kind.CONFIGURATION, "routing", "published", "" + before, "" + next.number());
    }

    /**
     * A worker is published or has changed.
     *
     * @param entry the worker
     * @param nowNanos the time
     */
    public void updateWorker(WorkerEntry entry, long nowNanos) {
        String before =
                workers.find(entry.id()).map(known -> describe(known.entry())).orElse("");
        workers.addOrUpdate(entry, nowNanos);
        if (!before.equals(describe(entry))) {
            audit.add(AuditEvent.Kind.UPSTREAM, entry.id(), "published", before, describe(entry));
        }
    }

    /**
     * A worker is published no more.
     *
     * @param id its name
     */
    public void removeWorker(String id) {
        workers.remove(id)
                .ifPresent(entry -> audit.add(AuditEvent.Kind.UPSTREAM, id, "published", describe(entry), "gone"));
    }

    /**
     * A data centre is evacuated, or taken back.
     *
     * @param dataCentre its name
     * @param evacuated whether its workers get nothing more
     * @param nowNanos the time
     */
    public void setEvacuated(String dataCentre, boolean evacuated, long nowNanos) {
        boolean changed = evacuated ? workers.evacuated(dataCentre) : workers.takenBack(dataCentre, nowNanos);
        if (changed) {
            String now = evacuated ? "evacuated" : "in use";
            audit.add(AuditEvent.Kind.EVACUATION, dataCentre, "published", evacuated ? "in use" : "evacuated", now);
        }
    }

    /** Every published worker has been read once. */
    public void markWorkersLoaded() {
        workersLoaded = true;
    }

    /**
     * Whether requests can be served.
     *
     * @return true once a routing table and the workers are known
     */
    public boolean isReady() {
        return table != null && workersLoaded;
    }

    /**
     * The workers.
     *
     * @return all that are published
     */
    public Workers workers() {
        return workers;
    }

    /**
     * The budget of repeats to an upstream.
     *
     * @param upstream its name
     * @return this process's part
     */
    public WindowedRetryBudget retryBudget(String upstream) {
        return budgets.computeIfAbsent(upstream, name -> {
            WindowedRetryBudget budget = new WindowedRetryBudget(limit.ratio(), limit.extra(), limit.windowNanos());
            budget.recordFleetSize(processes);
            return budget;
        });
    }

    /**
     * How an upstream's engines are split.
     *
     * @param upstream its name
     * @return its split
     */
    public EnginePartition enginePartition(String upstream) {
        return enginePartitions.computeIfAbsent(upstream, name -> new EnginePartition());
    }

    /**
     * What an upstream's engines take for streams that can wait.
     *
     * @param upstream its name
     * @return its model
     */
    public EngineModel engineModel(String upstream) {
        return models.computeIfAbsent(upstream, name -> new EngineModel());
    }

    /**
     * Which workers have read which parts of prompts.
     *
     * @return the parts of all upstreams
     */
    public CachedPrefixes cachedPrefixes() {
        return cachedPrefixes;
    }

    /**
     * Requests under which workers crashed.
     *
     * @return the quarantine, which is the same for all upstreams
     */
    public RequestQuarantine quarantine() {
        return quarantine;
    }

    /**
     * A run of a request ended, with its worker or well, here or at a peer.
     *
     * @param notice what happened
     * @param nowNanos the time
     */
    public void applyCrashNotice(CrashNotice notice, long nowNanos) {
        if (quarantine.applyNotice(notice, nowNanos)) {
            audit.add(AuditEvent.Kind.QUARANTINE, notice.request().toString(), "workers crashed under it", "", "held");
        }
    }

    /**
     * A worker has said in an answer how many requests it takes.
     *
     * @param worker the worker
     * @param perSecond requests a second from all processes together, empty if it named no limit
     * @param nowNanos the time
     */
    public void recordWorkerLimit(WorkerEntry worker, OptionalDouble perSecond, long nowNanos) {
        WorkerLimits limits = workers.limits();
        String before = describe(limits.limit(worker.incarnation()));
        boolean published = workers.started(worker.incarnation()).isPresent();
        if (published && limits.updateFromWorker(worker.incarnation(), perSecond, nowNanos)) {
            audit.add(AuditEvent.Kind.LIMIT, worker.id(), "named in an answer", before, describe(perSecond));
        }
    }

    /**
     * A peer has told how many requests a worker takes. Of workers that are not published here nothing is kept: a
     * process that knows them is told again.
     *
     * @param notice the worker's word
     * @param peer the peer's name
     * @param nowNanos the time
     */
    public void applyLimitNotice(LimitNotice notice, String peer, long nowNanos) {
        workers.started(notice.worker()).ifPresent(worker -> {
            WorkerLimits limits = workers.limits();
            String before = describe(limits.limit(notice.worker()));
            if (limits.updateFromPeer(notice, nowNanos)) {
                String id = worker.entry().id();
                audit.add(AuditEvent.Kind.LIMIT, id, "told by " + peer, before, describe(notice.perSecond()));
            }
        });
    }

    private static String describe(OptionalDouble perSecond) {
        return perSecond.isPresent() ? perSecond.getAsDouble() + " a second" : "none";
    }

    /**
     * The enginePartitions of all upstreams that had requests.
     *
     * @return by the upstream's name
     */
    public Map<String, EnginePartition> enginePartitions() {
        return enginePartitions;
    }

    /**
     * The size of the fleet is known.
     *
     * @param count processes, this one included
     */
    public void updateFleetSize(int count) {
        reachableProcesses = count;
        processes = Math.max(processes, count);
        budgets.values().forEach(budget -> budget.recordFleetSize(count));
    }

    /**
     * How many processes are known not to be dead, this one included.
     *
     * @return the count
     */
    public int reachableProcesses() {
        return reachableProcesses;
    }

    private static String describe(WorkerEntry entry) {
        return entry.upstream() + " " + entry.host() + ":" + entry.port() + (entry.leaving() ? " leaving" : " live")
                + (entry.startMillis() == 0 ? "" : " since " + entry.startMillis());
    }
}
