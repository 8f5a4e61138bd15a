package org.dotterelcourse.daemon.metrics;

import java.util.List;
import java.util.concurrent.TimeUnit;

import com.codahale.metrics.MetricRegistry;
import org.dotterelcourse.configuration.RequestClass;
import org.dotterelcourse.daemon.dispatch.Failure;
import org.dotterelcourse.daemon.dispatch.Outcome;
import org.dotterelcourse.daemon.kernel.Kernel;
import org.dotterelcourse.daemon.kernel.Service;
import org.dotterelcourse.daemon.kernel.ServiceName;
import org.dotterelcourse.daemon.kernel.StartupFailure;
import org.jboss.logging.Logger;
import org.jboss.logging.MDC;

/** Records the number, outcome and duration of requests per request class, and writes one log line per request. */
public final class RequestMetrics implements Service {
    /** The name under which the kernel registers this service. */
    public static final ServiceName<RequestMetrics> NAME = new ServiceName<>("metrics", RequestMetrics.class);

    private static final Logger LOG = Logger.getLogger("org.dotterelcourse.requests");

    private final MetricRegistry registry = new MetricRegistry();

    @Override
    public ServiceName<RequestMetrics> name() {
        return NAME;
    }

    @Override
    public List<ServiceName<?>> dependencies() {
        return List.of();
    }

    @Override
    public List<StartupFailure> start(Kernel kernel) {
        return List.of();
    }

    @Override
    public void stop() {
        // Holds no threads or connections.
    }

    /**
     * Returns the registry of all metrics of the daemon.
     *
     * @return the registry
     */
    public MetricRegistry registry() {
        return registry;
    }

    /**
     * Starts to track a request.
     *
     * @param id id of the request
     * @param customer name of the customer
     * @param requestClass class of the request
     * @param arrivalNanos arrival time of the request, in nanoseconds of {@link System#nanoTime()}
     * @param endListener notified once when the request has ended
     * @return the tracker of the request
     */
    public RequestTracker track(
            String id, String customer, RequestClass requestClass, long arrivalNanos, RequestEndListener endListener) {
        return new RequestTracker(this, id, customer, requestClass, arrivalNanos, endListener);
    }

    /**
     * Counts and logs a request that was rejected before it was dispatched to a worker.
     *
     * @param id id of the request
     * @param customer name of the customer, empty if unknown
     * @param requestClass name of the request class, empty if unknown
     * @param failure the failure reported to the caller
     */
    public void recordRefusal(String id, String customer, String requestClass, Failure failure) {
        registry.counter("refused." + failure.status()).inc();
        if (!requestClass.isEmpty()) {
            registry.counter("class." + requestClass + ".outcome."
                            + failure.outcome().label())
                    .inc();
        }
        MDC.put("requestId", id);
        MDC.put("class", requestClass);
        MDC.put("customer", customer);
        MDC.put("outcome", failure.outcome().label());
        MDC.put("reason", failure.title());
        LOG.info("request");
        MDC.clear();
    }

    void recordEnd(RequestTracker request, Outcome outcome, String reason) {
        String prefix = "class." + request.requestClass() + ".";
        registry.counter(prefix + "outcome." + outcome.label()).inc();
        boolean answered = outcome instanceof Outcome.Answered;
        boolean targetsMet = answered && request.metTargets();
        registry.counter(prefix + (targetsMet ? "attained" : "missed")).inc();
        registry.counter(prefix + "tokens").inc(request.tokens());
        if (request.firstOutputNanos() >= 0) {
            registry.timer(prefix + "first").update(request.firstOutputNanos(), TimeUnit.NANOSECONDS);
        }
        registry.timer(prefix + "duration").update(request.durationNanos(), TimeUnit.NANOSECONDS);
        log(request, outcome, reason, targetsMet);
    }

    private static void log(RequestTracker request, Outcome outcome, String reason, boolean targetsMet) {
        MDC.put("requestId", request.id());
        MDC.put("class", request.requestClass());
        MDC.put("customer", request.customer());
        MDC.put("worker", request.worker());
        MDC.put("outcome", outcome.label());
        MDC.put("reason", reason);
        MDC.put("attained", targetsMet);
        MDC.put("tokens", request.tokens());
        MDC.put("durationMillis", TimeUnit.NANOSECONDS.toMillis(request.durationNanos()));
        LOG.info("request");
        MDC.clear();
    }
}
