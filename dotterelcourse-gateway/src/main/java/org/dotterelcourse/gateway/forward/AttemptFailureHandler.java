package org.dotterelcourse.gateway.forward;

import java.util.stream.Collectors;

import com.codahale.metrics.MetricRegistry;
import org.dotterelcourse.gateway.GatewayLoop;
import org.dotterelcourse.gateway.GatewayState;
import org.dotterelcourse.gateway.workers.WorkerEntry;
import org.dotterelcourse.policy.quarantine.CrashCause;
import org.dotterelcourse.policy.quarantine.CrashNotice;
import org.dotterelcourse.policy.quarantine.CrashNotice.Ending;
import org.dotterelcourse.policy.quarantine.Fingerprint;
import org.dotterelcourse.policy.quarantine.RequestQuarantine;
import org.dotterelcourse.policy.quarantine.Verdict;
import org.jboss.logging.Logger;
import org.jboss.logging.MDC;
import reactor.core.publisher.Mono;

/**
 * Handles attempts that failed after the request was sent: probes whether the worker crashed, reports crashes to the
 * {@link RequestQuarantine}, and logs each failed attempt. The log line has the request's fingerprint, by which retries
 * of the same content can be correlated, and the state of the worker.
 */
final class AttemptFailureHandler {
    private static final Logger LOG = Logger.getLogger("org.dotterelcourse.attempts");

    private final GatewayLoop loop;
    private final GatewayState state;
    private final RequestQuarantine quarantine;
    private final Reachability reachability;
    private final PartQuarantine parts;

    AttemptFailureHandler(GatewayLoop loop, GatewayState state, Reachability reachability, MetricRegistry metrics) {
        this.loop = loop;
        this.state = state;
        this.quarantine = state.quarantine();
        this.reachability = reachability;
        this.parts = new PartQuarantine(state, metrics);
    }

    /**
     * Probes the worker of a failed attempt, then logs and records the result.
     *
     * @param call the request
     * @param worker the worker at which the attempt failed
     * @param reason what went wrong, for the log
     * @return completes after the result is recorded; the probe runs even if there is no subscriber
     */
    Mono<Void> handleFailure(Call call, WorkerEntry worker, String reason) {
        FailedAttempt attempt = new FailedAttempt(
                call,
                worker,
                reason,
                call.millisSinceSend(loop.nowNanos()),
                call.events().attemptCount());
        Mono<Void> handled = reachability
                .probeOnce(worker)
                .flatMap(result -> confirmed(worker, result))
                .doOnNext(result -> handleProbeResult(attempt, result))
                .then()
                .cache();
        handled.subscribe();
        return handled;
    }

    /** Confirms a crash by another worker: if none accepts connections, the links of this process have failed. */
    private Mono<WorkerProbe.Result> confirmed(WorkerEntry worker, WorkerProbe.Result result) {
        return result == WorkerProbe.Result.CRASHED
                ? reachability
                        .isAnotherReached(worker)
                        .map(isReached -> isReached ? WorkerProbe.Result.CRASHED : WorkerProbe.Result.UNKNOWN)
                : Mono.just(result);
    }

    /** Returns whether the request may be sent to a worker, by its content and by the parts of its prompt. */
    Verdict verdict(Call call) {
        long nowNanos = loop.nowNanos();
        Verdict byParts = parts.verdict(call, nowNanos);
        if (byParts instanceof Verdict.Quarantined || quarantine.isEmpty()) {
            return byParts;
        }
        return quarantine.verdict(CrashCause.ofContent(call.fingerprint()), nowNanos);
    }

    /**
     * Records that a worker has finished the request without crashing.
     *
     * @param isSuccess whether the worker has done the work of the request
     */
    void recordFinished(Call call, boolean isSuccess) {
        if (isSuccess) {
            recordDuration(call.attributes());
        }
        if (!quarantine.isEmpty()) {
            long nowNanos = loop.nowNanos();
            state.applyCrashNotice(
                    new CrashNotice(CrashCause.ofContent(call.fingerprint()), Ending.FINISHED, 0, 0, 0), nowNanos);
            if (isSuccess) {
                parts.recordFinished(call, nowNanos);
            }
        }
    }

    private void recordDuration(Call.Attributes attributes) {
        long nowNanos = loop.nowNanos();
        state.shutdownAdmission()
                .recordAnswer(
                        attributes.route().name(),
                        attributes.upstream().name(),
                        nowNanos - attributes.arrivalNanos(),
                        nowNanos);
    }

    /** Reports a crash, except for a leaving worker, which stops as announced even with requests in flight. */
    private void handleProbeResult(FailedAttempt attempt, WorkerProbe.Result result) {
        log(attempt, result);
        if (result == WorkerProbe.Result.CRASHED && !state.workers().isLeaving(attempt.worker())) {
            Ending ending = attempt.eventCount() == 0 ? Ending.CRASHED_BEFORE_OUTPUT : Ending.CRASHED_DURING_OUTPUT;
            CrashNotice notice = new CrashNotice(
                    CrashCause.ofContent(attempt.call().fingerprint()),
                    ending,
                    attempt.worker().incarnation(),
                    Math.round(attempt.elapsedMillis()),
                    0);
            state.applyCrashNotice(notice, loop.nowNanos());
            parts.recordCrash(
                    attempt.call(), attempt.worker(), attempt.elapsedMillis(), attempt.eventCount(), loop.nowNanos());
        }
    }

    private static void log(FailedAttempt attempt, WorkerProbe.Result result) {
        Call call = attempt.call();
        MDC.put("request", call.attributes().id());
        MDC.put("fingerprint", call.fingerprint().toString());
        MDC.put("parts", call.sharedParts().stream().map(Fingerprint::toString).collect(Collectors.joining(",")));
        MDC.put("customer", call.attributes().customer());
        MDC.put("route", call.attributes().route().name());
        MDC.put("worker", attempt.worker().id());
        MDC.put("version", attempt.worker().version());
        MDC.put("workerState", result.name());
        MDC.put("attemptMillis", Long.toString(Math.round(attempt.elapsedMillis())));
        MDC.put("attemptEvents", Integer.toString(attempt.eventCount()));
        MDC.put("reason", attempt.reason());
        LOG.info("attempt broke");
        MDC.clear();
    }

    /** A failed attempt, with its duration and the number of events that were passed on at the time of the failure. */
    private record FailedAttempt(Call call, WorkerEntry worker, String reason, double elapsedMillis, int eventCount) {}
}
