package org.dotterelcourse.gateway;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import org.dotterelcourse.daemon.audit.AuditEvent;
import org.dotterelcourse.daemon.audit.AuditTrail;
import org.dotterelcourse.daemon.kernel.Kernel;
import org.dotterelcourse.daemon.kernel.Service;
import org.dotterelcourse.daemon.kernel.ServiceName;
import org.dotterelcourse.daemon.kernel.StartupFailure;
import org.dotterelcourse.gateway.routing.RoutingTable;
import org.dotterelcourse.gateway.workers.WorkerEntry;
import org.dotterelcourse.gateway.workers.WorkerTimings;
import org.dotterelcourse.gateway.workers.Workers;
import org.dotterelcourse.policy.quarantine.CrashNotice;
import org.dotterelcourse.policy.quarantine.RequestQuarantine;
import org.dotterelcourse.policy.repeat.WindowedRetryBudget;
import org.dotterelcourse.policy.resumption.PartVersionLog;
import org.dotterelcourse.policy.resumption.StreamVersionLog;
import org.dotterelcourse.policy.resumption.VersionHistory;
import org.dotterelcourse.policy.selection.CachedPrefixes;
import org.dotterelcourse.policy.selection.EngineModel;
import org.dotterelcourse.policy.selection.EnginePartition;
import org.dotterelcourse.policy.selection.GapClassifier;
import org.dotterelcourse.policy.shutdown.ShutdownAdmission;

/**
 * The gateway's view of the platform and the fleet: the active routing table, the workers, the retry budgets, and the
 * learned state of engines and requests. Not thread-safe; used on the gateway's event loop only, except for {@link
 * #table} and {@link #isReady}.
 */
public final class GatewayState implements Service {
    /** Name of this service in the kernel. */
    public static final ServiceName<GatewayState> NAME = new ServiceName<>("gateway-state", GatewayState.class);

    /** Time for which a stream may be resumed, where the routes' time limits are shorter or not known yet. */
    private static final long MIN_STREAM_LIFETIME_MILLIS = 10_000;

    private final Workers workers = new Workers();
    private final Map<String, WindowedRetryBudget> retryBudgets = new HashMap<>();
    private final Map<String, EnginePartition> enginePartitions = new HashMap<>();
    private final Map<String, EngineModel> engineModels = new HashMap<>();
    private final Map<String, GapClassifier> gapClassifiers = new HashMap<>();
    private final RequestQuarantine quarantine = new RequestQuarantine();
    private final CachedPrefixes cachedPrefixes = new CachedPrefixes();
    private final WorkerTimings timings = new WorkerTimings(workers);
    private final WorkerStatements statements = new WorkerStatements(workers);
    private final StreamVersionLog streamVersions = new StreamVersionLog();
    private final PartVersionLog partVersions = new PartVersionLog();
    private final ShutdownSignal shutdownSignal = new ShutdownSignal();
    private final ShutdownAdmission shutdownAdmission = new ShutdownAdmission(System.nanoTime());
    private final RetryLimit retryLimit;
    private AuditTrail audit;
    private volatile RoutingTable table;
    private volatile boolean workersLoaded;
    private boolean separateStreams = true;
    private int maxProcesses = 1;
    private int reachableProcesses = 1;

    /**
     * The fleet's limit on retries to one upstream.
     *
     * @param ratio retries allowed per request
     * @param extra additional retries allowed per window, for all processes together
     * @param windowNanos length of the window in nanoseconds
     */
    public record RetryLimit(double ratio, double extra, long windowNanos) {}

    /**
     * Creates a state without a routing table and workers.
     *
     * @param retryLimit limit on retries, which applies to each upstream separately
     */
    public GatewayState(RetryLimit retryLimit) {
        this.retryLimit = retryLimit;
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
        statements.setAudit(audit);
        return List.of();
    }

    @Override
    public void stop() {
        // Holds no resources.
    }

    /**
     * Returns the active routing table. May be called on any thread.
     *
     * @return the table; empty until the first one is activated
     */
    public Optional<RoutingTable> table() {
        return Optional.ofNullable(table);
    }

    /**
     * Activates a routing table, unless the active one has the same or a higher number.
     *
     * @param next the published table
     */
    public void activate(RoutingTable next) {
        long before = table == null ? 0 : table.number();
        if (next.number() <= before) {
            return;
        }
        table = next;
        enginePartitions.keySet().removeIf(upstream -> !next.hasUpstream(upstream));
        workers.configureUpstreams(
                next::hasUpstream, upstream -> next.upstream(upstream).coldStart());
        audit.add(AuditEvent.Kind.CONFIGURATION, "routing", "published", "" + before, "" + next.number());
    }

    /**
     * Adds a published worker or updates its entry.
     *
     * @param entry the published entry
     * @param nowNanos current monotonic time in nanoseconds
     */
    public void updateWorker(WorkerEntry entry, long nowNanos) {
        String before = workers.find(entry.id())
                .map(worker -> worker.entry().describe())
                .orElse("");
        workers.addOrUpdate(entry, nowNanos);
        if (!before.equals(entry.describe())) {
            audit.add(AuditEvent.Kind.UPSTREAM, entry.id(), "published", before, entry.describe());
        }
    }

    /**
     * Removes a worker that is no longer published.
     *
     * @param id name of the worker
     * @param nowNanos current monotonic time in nanoseconds
     */
    public void removeWorker(String id, long nowNanos) {
        workers.remove(id, nowNanos)
                .ifPresent(entry -> audit.add(AuditEvent.Kind.UPSTREAM, id, "published", entry.describe(), "gone"));
    }

    /**
     * Starts or ends the evacuation of a data centre.
     *
     * @param dataCentre name of the data centre
     * @param evacuated true if its workers get no new requests from now on, false if the evacuation ends
     * @param nowNanos current monotonic time in nanoseconds
     */
    public void setEvacuated(String dataCentre, boolean evacuated, long nowNanos) {
        boolean changed = evacuated ? workers.evacuate(dataCentre) : workers.endEvacuation(dataCentre, nowNanos);
        if (changed) {
            String after = evacuated ? "evacuated" : "in use";
            audit.add(AuditEvent.Kind.EVACUATION, dataCentre, "published", evacuated ? "in use" : "evacuated", after);
        }
    }

    /** Records that all published workers have been loaded for the first time. */
    public void markWorkersLoaded() {
        workersLoaded = true;
    }

    /**
     * Returns how long after its beginning a stream may still be resumed.
     *
     * @return twice the longest time limit of the routes, for one attempt and the next one, in nanoseconds
     */
    public long streamLifetimeNanos() {
        long timeoutMillis = table == null ? 0 : table.longestTimeoutMillis();
        return TimeUnit.MILLISECONDS.toNanos(Math.max(MIN_STREAM_LIFETIME_MILLIS, 2 * timeoutMillis));
    }

    /**
     * Returns the software versions of recent streams.
     *
     * @return the streams of this process and of peers
     */
    public StreamVersionLog streamVersions() {
        return streamVersions;
    }

    /**
     * Returns which software versions keep which parts of prompts.
     *
     * @return what this process and peers have read from workers
     */
    public PartVersionLog partVersions() {
        return partVersions;
    }

    /**
     * Returns the software versions of which workers were published. Observes them before, so that nothing is concluded from
     * a time in which this process was paused or did not know the workers.
     *
     * @param nowNanos current monotonic time in nanoseconds
     * @return the versions of all upstreams
     */
    public VersionHistory versionHistory(long nowNanos) {
        if (isReady()) {
            workers.versionHistory().observe(nowNanos);
        }
        return workers.versionHistory();
    }

    /**
     * Returns whether this process can serve requests. May be called on any thread.
     *
     * @return true once a routing table is active and the published workers have been loaded
     */
    public boolean isReady() {
        return table != null && workersLoaded;
    }

    /**
     * Returns the largest number of processes that this process has known at a time.
     *
     * @return the number, including this process
     */
    public int processes() {
        return maxProcesses;
    }

    /**
     * Returns the registry of workers.
     *
     * @return the workers of all upstreams
     */
    public Workers workers() {
        return workers;
    }

    /**
     * Returns the durations measured at the workers, and their speeds.
     *
     * @return the timings of the workers of all upstreams
     */
    public WorkerTimings timings() {
        return timings;
    }

    /**
     * Returns the retry budget of an upstream.
     *
     * @param upstream name of the upstream
     * @return this process's part of the fleet's budget
     */
    public WindowedRetryBudget retryBudget(String upstream) {
        return retryBudgets.computeIfAbsent(upstream, name -> {
            WindowedRetryBudget budget =
                    new WindowedRetryBudget(retryLimit.ratio(), retryLimit.extra(), retryLimit.windowNanos());
            budget.recordFleetSize(maxProcesses);
            return budget;
        });
    }

    /**
     * Returns how the engines of an upstream are divided among latency classes.
     *
     * @param upstream name of the upstream
     * @return its partition, created on first use
     */
    public EnginePartition enginePartition(String upstream) {
        return enginePartitions.computeIfAbsent(upstream, name -> new EnginePartition());
    }

    /**
     * Returns the learned model of how much time the engines of an upstream need for delay-tolerant streams.
     *
     * @param upstream name of the upstream
     * @return its model, created on first use
     */
    public EngineModel engineModel(String upstream) {
        return engineModels.computeIfAbsent(upstream, name -> new EngineModel());
    }

    /**
     * Sets whether interactive streams with long prompts are kept from those with shorter gap targets. Must be called before
     * the first request.
     *
     * @param value false to classify streams by their targets alone; the default is true
     */
    public void setSeparateStreams(boolean value) {
        separateStreams = value;
    }

    /**
     * Updates the speeds of the workers from the measured durations, if an update is due.
     *
     * @param nowNanos current monotonic time in nanoseconds
     */
    public void updateTimings(long nowNanos) {
        for (WorkerTimings.SpeedChange change : timings.updateIfDue(nowNanos)) {
            audit.add(AuditEvent.Kind.PERFORMANCE, change.worker(), "measured", change.before(), change.after());
        }
    }

    /**
     * Returns what determines the latency classes of the streams of an upstream.
     *
     * @param upstream name of the upstream
     * @return its classifier, created on first use
     */
    public GapClassifier gapClassifier(String upstream) {
        return gapClassifiers.computeIfAbsent(upstream, name -> new GapClassifier(separateStreams));
    }

    /**
     * Returns which parts of prompts are probably cached at which workers.
     *
     * @return the cached parts of the workers of all upstreams
     */
    public CachedPrefixes cachedPrefixes() {
        return cachedPrefixes;
    }

    /**
     * Returns the quarantine of requests under which workers crashed.
     *
     * @return the quarantine for the requests of all upstreams
     */
    public RequestQuarantine quarantine() {
        return quarantine;
    }

    /**
     * Applies a notice about the end of a run of a request that may crash workers.
     *
     * @param notice notice of this process or of a peer; says whether the run finished or crashed its worker
     * @param nowNanos current monotonic time in nanoseconds
     */
    public void applyCrashNotice(CrashNotice notice, long nowNanos) {
        if (quarantine.applyNotice(notice, nowNanos)) {
            audit.add(AuditEvent.Kind.QUARANTINE, notice.cause().toString(), "workers crashed under it", "", "held");
        }
    }

    /**
     * Returns what workers have stated about themselves in responses.
     *
     * @return the statements of the workers of all upstreams
     */
    public WorkerStatements statements() {
        return statements;
    }

    /** @return tells what is in flight that the process is about to end */
    public ShutdownSignal shutdownSignal() {
        return shutdownSignal;
    }

    /** @return decides which requests are still accepted after the signal to stop */
    public ShutdownAdmission shutdownAdmission() {
        return shutdownAdmission;
    }

    /**
     * Returns the engine partitions of all upstreams that had requests.
     *
     * @return partitions by name of the upstream
     */
    public Map<String, EnginePartition> enginePartitions() {
        return enginePartitions;
    }

    /**
     * Updates the size of the fleet, by which the retry budgets are divided.
     *
     * @param count number of processes that are not dead according to membership, this one included
     */
    public void updateFleetSize(int count) {
        reachableProcesses = count;
        maxProcesses = Math.max(maxProcesses, count);
        retryBudgets.values().forEach(budget -> budget.recordFleetSize(count));
    }

    /**
     * Returns the current size of the fleet.
     *
     * @return number of processes that are not dead according to membership, this one included
     */
    public int reachableProcesses() {
        return reachableProcesses;
    }
}
