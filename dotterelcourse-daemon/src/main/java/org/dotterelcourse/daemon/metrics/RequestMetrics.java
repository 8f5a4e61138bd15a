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

/** Counts requests by class and outcome, times them, and writes one log line for each. */
public final class RequestMetrics implements Service {
    /** The name that it is found by. */
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
        // Nothing runs.
    }

    /**
     * The registry that every metric of the daemon is in.
     *
     * @return the registry
     */
    public MetricRegistry registry() {
        return registry;
    }

    /**
     * Watches a request.
     *
     * @param id its id
     * @param customer the customer's name
     * @param requestClass its class
     * @param arrivalNanos when it came
     * @param ended to be told once how it ended
     * @return the watch
     */
    public RequestTracker track(
            String id, String customer, RequestClass requestClass, long arrivalNanos, RequestEndListener ended) {
        return new RequestTracker(this, id, customer, requestClass, arrivalNanos, ended);
    }

    /**
     * Counts and logs a request that was refused before it could ask for a worker.
     *
     * @param id its id
     * @param customer the customer's name, empty if it is not known
     * @param requestClass its class, empty if it is not known
     * @param failure what its caller is told
     */
    public void recordRefusal(String id, String customer, String requestClass, Failure failure) {
        registry.counter("refused." + failure.status()).inc();
        if (!requestClass.isEmpty()) {
            registry.counter("class." + requestClass + ".outcome."
                            + failure.outcome().word())
                    .inc();
        }
        MDC.put("requestId", id);
        MDC.put("class", requestClass);
        MDC.put("customer", customer);
        MDC.put("outcome", failure.outcome().word());
        MDC.put("reason", failure.title());
        LOG.info("request");
        MDC.clear();
    }

    void ended(RequestTracker request, Outcome outcome, String reason) {
        String prefix = "class." + request.requestClass() + ".";
        registry.counter(prefix + "outcome." + outcome.word()).inc();
        boolean answered = outcome instanceof Outcome.Answered;
        boolean attained = answered && request.attained();
        registry.counter(prefix + (attained ? "attained" : "missed")).inc();
        registry.counter(prefix + "tokens").inc(request.tokens());
        if (request.firstNanos() >= 0) {
            registry.timer(prefix + "first").update(request.firstNanos(), TimeUnit.NANOSECONDS);
        }
        registry.timer(prefix + "duration").update(request.durationNanos(), TimeUnit.NANOSECONDS);
        log(request, outcome, reason, attained);
    }

    private static void log(RequestTracker request, Outcome outcome, String reason, boolean attained) {
        MDC.put("requestId", request.id());
        MDC.put("class", request.requestClass());
        MDC.put("customer", request.customer());
        MDC.put("worker", request.worker());
        MDC.put("outcome", outcome.word());
        MDC.put("reason", reason);
        MDC.put("attained", attained);
        MDC.put("tokens", request.tokens());
        MDC.put("durationMillis", TimeUnit.NANOSECONDS.toMillis(request.durationNanos()));
        LOG.info("request");
        MDC.clear();
    }
}
