package org.dotterelcourse.gateway.forward;

import org.dotterelcourse.gateway.GatewayLoop;
import org.dotterelcourse.gateway.GatewayState;
import org.dotterelcourse.gateway.workers.WorkerEntry;
import org.dotterelcourse.policy.quarantine.CrashNotice;
import org.dotterelcourse.policy.quarantine.CrashNotice.Ending;
import org.dotterelcourse.policy.quarantine.RequestQuarantine;
import org.dotterelcourse.policy.quarantine.Verdict;
import org.jboss.logging.Logger;
import org.jboss.logging.MDC;
import reactor.core.publisher.Mono;

/**
 * Follows up attempts that broke at their worker, and keeps requests that crash workers from further ones. One line for each
 * tells which request it was, so that repeats of the same content can be joined, and what became of the worker.
 */
final class BrokenAttempts {
    private static final Logger LOG = Logger.getLogger("org.dotterelcourse.attempts");

    private final GatewayLoop loop;
    private final GatewayState state;
    private final RequestQuarantine quarantine;
    private final WorkerProbe probe;

    BrokenAttempts(GatewayLoop loop, GatewayState state) {
        this.loop = loop;
        this.state = state;
        this.quarantine = state.quarantine();
        this.probe = new WorkerProbe(loop);
    }

    /**
     * An attempt broke after the request was sent.
     *
     * @param call the request
     * @param worker where it broke
     * @param reason how
     * @return completes when it is known whether the worker has crashed; it is found out whether anybody waits or not
     */
    Mono<Void> broke(Call call, WorkerEntry worker, String reason) {
        Break found = new Break(call, worker, reason, call.sinceSentMillis(loop.nowNanos()), call.attemptEvents());
        Mono<Void> followed = probe.probe(worker)
                .doOnNext(finding -> follow(found, finding))
                .then()
                .cache();
        followed.subscribe();
        return followed;
    }

    /** Whether a request may be sent to a worker. */
    Verdict verdict(Call call) {
        return quarantine.isEmpty() ? new Verdict.Allowed() : quarantine.verdict(call.fingerprint(), loop.nowNanos());
    }

    /** A request came to its end at a worker. */
    void finished(Call call) {
        if (!quarantine.isEmpty()) {
            state.applyCrashNotice(new CrashNotice(call.fingerprint(), Ending.FINISHED, 0, 0, 0), loop.nowNanos());
        }
    }

    /** A worker that is leaving ends as announced, whatever it still runs. */
    private void follow(Break found, WorkerProbe.Finding finding) {
        log(found, finding);
        if (finding == WorkerProbe.Finding.CRASHED && !found.worker().leaving()) {
            Ending ending = found.events() == 0 ? Ending.CRASHED_BEFORE_OUTPUT : Ending.CRASHED_DURING_OUTPUT;
            CrashNotice notice = new CrashNotice(
                    found.call().fingerprint(), ending, found.worker().incarnation(), Math.round(found.millis()), 0);
            state.applyCrashNotice(notice, loop.nowNanos());
        }
    }

    private static void log(Break found, WorkerProbe.Finding finding) {
        Call call = found.call();
        MDC.put("request", call.terms().id());
        MDC.put("fingerprint", call.fingerprint().toString());
        MDC.put("customer", call.terms().customer());
        MDC.put("route", call.terms().route().name());
        MDC.put("worker", found.worker().id());
        MDC.put("workerState", finding.name());
        MDC.put("attemptMillis", Long.toString(Math.round(found.millis())));
        MDC.put("attemptEvents", Integer.toString(found.events()));
        MDC.put("reason", found.reason());
        LOG.info("attempt broke");
        MDC.clear();
    }

    /** How an attempt stood when it broke. */
    private record Break(Call call, WorkerEntry worker, String reason, double millis, int events) {}
}
