package org.dotterelcourse.gateway.forward;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;
import java.util.function.UnaryOperator;
import java.util.random.RandomGenerator;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import org.dotterelcourse.daemon.audit.AuditEvent;
import org.dotterelcourse.daemon.audit.AuditTrail;
import org.dotterelcourse.daemon.kernel.Kernel;
import org.dotterelcourse.daemon.kernel.Service;
import org.dotterelcourse.daemon.kernel.ServiceName;
import org.dotterelcourse.daemon.kernel.StartupFailure;
import org.dotterelcourse.gateway.GatewayLoop;
import org.dotterelcourse.gateway.GatewayState;
import org.dotterelcourse.gateway.Poller;
import org.dotterelcourse.gateway.metrics.GatewayMetrics;
import org.dotterelcourse.gateway.workers.WorkerEntry;
import org.dotterelcourse.gateway.workers.WorkerLinks;
import org.dotterelcourse.policy.relay.ReachabilityDetector;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;

/**
 * Knows whether this process has a link to any worker. Feeds the {@link ReachabilityDetector} with the connection attempts
 * of requests, and probes workers while a partition is suspected or detected, or while no worker sends anything.
 */
public final class Reachability implements Service {
    /** The name under which the kernel registers the service. */
    public static final ServiceName<Reachability> NAME = new ServiceName<>("reachability", Reachability.class);

    /** Period of the checks: a partition must be detected, and its end noticed, well within a second. */
    private static final long PERIOD_MILLIS = 250;

    /** Workers probed in one period. Probes only run while a partition is suspected or detected. */
    private static final int PROBES = 3;

    /** Workers probed when none sends anything; their failures lead to further probes at once. */
    private static final int SILENCE_PROBES = 2;

    /** Time without a byte of any worker after which workers are probed. One worker may be silent for that long. */
    private static final long SILENCE_MILLIS = 600;

    /** Requests in flight from which on silence is remarkable; a few may all be waiting for their prompts to be read. */
    private static final int MIN_SILENT_REQUESTS = 3;

    /** Time without a byte of any worker after which open connections are not expected to deliver anything. */
    private static final long HANGING_MILLIS = 400;

    /** Workers probed to confirm that another worker has crashed. */
    private static final int CONTROL_PROBES = 2;

    private static final long NANOS_PER_MILLI = 1_000_000L;

    private final UnaryOperator<InetSocketAddress> addressMapping;
    private final ReachabilityDetector detector = new ReachabilityDetector();
    private final List<Consumer<Boolean>> listeners = new CopyOnWriteArrayList<>();
    private GatewayLoop loop;
    private GatewayState state;
    private AuditTrail audit;
    private WorkerLinks links;
    private WorkerProbe probe;
    private Counter probes;
    private Counter partitions;
    private Sinks.Empty<Void> hangingRequests = Sinks.empty();
    private long receivedNanos;
    private int cutOffGauge;

    /**
     * Creates the service.
     *
     * @param addressMapping returns the address to connect to for a worker's published address; the identity unless
     *     connections are to pass a proxy
     */
    public Reachability(UnaryOperator<InetSocketAddress> addressMapping) {
        this.addressMapping = addressMapping;
    }

    @Override
    public ServiceName<Reachability> name() {
        return NAME;
    }

    @Override
    public List<ServiceName<?>> dependencies() {
        return List.of(GatewayLoop.NAME, GatewayState.NAME, GatewayMetrics.NAME, AuditTrail.NAME);
    }

    @Override
    public List<StartupFailure> start(Kernel kernel) {
        loop = kernel.find(GatewayLoop.NAME);
        state = kernel.find(GatewayState.NAME);
        audit = kernel.find(AuditTrail.NAME);
        links = new WorkerLinks(state.workers(), RandomGenerator.getDefault());
        probe = new WorkerProbe(loop, addressMapping);
        MetricRegistry metrics = kernel.find(GatewayMetrics.NAME).registry();
        probes = metrics.counter("gateway.reachability.probes");
        partitions = metrics.counter("gateway.reachability.partitions");
        metrics.gauge("gateway.reachability.cut-off", () -> () -> cutOffGauge);
        new Poller(run -> loop.runAtNextMultiple(PERIOD_MILLIS, run), this::check).start();
        return List.of();
    }

    @Override
    public void stop() {
        // The timer ends with the event loop.
    }

    /**
     * Adds a listener for the begin and the end of partitions.
     *
     * @param listener called on the event loop with whether this process is cut off from all workers
     */
    public void onChange(Consumer<Boolean> listener) {
        listeners.add(listener);
    }

    /**
     * Returns whether this process has no link to any worker. Must be called on the event loop.
     *
     * @return true from the detection of a partition until the detection of its end
     */
    public boolean isCutOff() {
        return detector.isCutOff();
    }

    WorkerLinks links() {
        return links;
    }

    /** Probes a worker and records the outcome. The probe is shared with others of the same worker. */
    Mono<WorkerProbe.Result> probeOnce(WorkerEntry worker) {
        return probe.probe(worker).doOnNext(result -> record(worker, result));
    }

    UnaryOperator<InetSocketAddress> addressMapping() {
        return addressMapping;
    }

    /** Records that a worker has sent something. */
    void recordReceived(long nowNanos) {
        receivedNanos = nowNanos;
    }

    /** Returns a listener that records the connection attempt of one request. */
    WorkerClient.ConnectListener listener(WorkerEntry worker) {
        return new WorkerClient.ConnectListener() {
            @Override
            public void onConnect() {
                recordConnect(worker);
            }

            @Override
            public void onConnectFailure() {
                recordConnectFailure(worker);
            }
        };
    }

    private void recordConnect(WorkerEntry worker) {
        receivedNanos = loop.nowNanos();
        if (detector.recordConnect(worker.incarnation(), links.published())) {
            change(worker.id() + " has accepted a connection", "cut off from all workers", "workers reached");
        }
    }

    private void recordConnectFailure(WorkerEntry worker) {
        long nowNanos = loop.nowNanos();
        if (detector.recordConnectFailure(worker.incarnation(), links.published(), nowNanos)) {
            partitions.inc();
            change(worker.id() + " and others accept no connection", "workers reached", "cut off from all workers");
        } else if (detector.isSuspicious(nowNanos)) {
            probeOthers(PROBES);
        }
    }

    private void change(String cause, String before, String after) {
        boolean isCutOff = detector.isCutOff();
        cutOffGauge = isCutOff ? 1 : 0;
        audit.add(AuditEvent.Kind.REACHABILITY, "workers", cause, before, after);
        links.forgetFailures();
        listeners.forEach(listener -> listener.accept(isCutOff));
        if (isCutOff) {
            abortHanging(loop.nowNanos());
        }
    }

    /** Returns true: links are checked until the process ends. */
    private boolean check() {
        long nowNanos = loop.nowNanos();
        if (detector.isCutOff()) {
            abortHanging(nowNanos);
            links.sample(PROBES, worker -> true).forEach(this::probe);
        } else if (detector.isSuspicious(nowNanos)) {
            probeOthers(PROBES);
        } else if (isSilent(nowNanos)) {
            probeOthers(SILENCE_PROBES);
        }
        return true;
    }

    /** Signals that requests in flight hang, unless open connections still carry responses. */
    private void abortHanging(long nowNanos) {
        if (nowNanos - receivedNanos >= HANGING_MILLIS * NANOS_PER_MILLI) {
            Sinks.Empty<Void> hanging = hangingRequests;
            hangingRequests = Sinks.empty();
            hanging.tryEmitEmpty();
        }
    }

    /** Completes when this process is cut off and nothing arrives on open connections either. */
    Mono<Void> hangingSignal() {
        return Mono.defer(() -> hangingRequests.asMono());
    }

    /** Returns whether several requests wait, and no worker has sent anything for a while. */
    private boolean isSilent(long nowNanos) {
        if (nowNanos - receivedNanos < SILENCE_MILLIS * NANOS_PER_MILLI) {
            return false;
        }
        if (links.inFlight() < MIN_SILENT_REQUESTS) {
            receivedNanos = nowNanos;
            return false;
        }
        return true;
    }

    private void probeOthers(int count) {
        links.sample(count, worker -> !detector.hasFailed(worker)).forEach(this::probe);
    }

    private void probe(WorkerEntry worker) {
        probes.inc();
        probeOnce(worker).subscribe();
    }

    private void record(WorkerEntry worker, WorkerProbe.Result result) {
        if (result == WorkerProbe.Result.ALIVE) {
            recordConnect(worker);
        } else {
            recordConnectFailure(worker);
        }
    }

    /**
     * Determines whether another worker accepts connections. If none does, a worker that refuses them has not
     * necessarily crashed.
     *
     * @return whether any of a few other workers is reached; true if there are no others
     */
    Mono<Boolean> isAnotherReached(WorkerEntry worker) {
        List<WorkerEntry> others = links.sample(CONTROL_PROBES, each -> each != worker.incarnation());
        if (others.isEmpty()) {
            return Mono.just(true);
        }
        return Flux.fromIterable(others).flatMap(this::probeOnce).any(result -> result == WorkerProbe.Result.ALIVE);
    }
}
