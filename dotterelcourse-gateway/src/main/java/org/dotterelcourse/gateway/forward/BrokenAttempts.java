package org.dotterelcourse.gateway.forward;

import org.dotterelcourse.gateway.GatewayLoop;
import org.dotterelcourse.gateway.workers.WorkerEntry;
import org.jboss.logging.Logger;
import org.jboss.logging.MDC;

/**
 * Follows up attempts that broke at their worker. One line for each tells which request it was, so that repeats of the same
 * content can be joined, and what became of the worker.
 */
final class BrokenAttempts {
    private static final Logger LOG = Logger.getLogger("org.dotterelcourse.attempts");

    private final GatewayLoop loop;
    private final WorkerProbe probe;

    BrokenAttempts(GatewayLoop loop) {
        this.loop = loop;
        this.probe = new WorkerProbe(loop);
    }

    /**
     * An attempt broke after the request was sent.
     *
     * @param call the request
     * @param worker where it broke
     * @param reason how
     */
    void broke(Call call, WorkerEntry worker, String reason) {
        double millis = call.sinceSentMillis(loop.nowNanos());
        int events = call.attemptEvents();
        probe.probe(worker).subscribe(finding -> log(call, worker, reason, millis, events, finding));
    }

    private static void log(
            Call call, WorkerEntry worker, String reason, double millis, int events, WorkerProbe.Finding finding) {
        MDC.put("request", call.terms().id());
        MDC.put("fingerprint", call.fingerprint().toString());
        MDC.put("customer", call.terms().customer());
        MDC.put("route", call.terms().route().name());
        MDC.put("worker", worker.id());
        MDC.put("workerState", finding.name());
        MDC.put("attemptMillis", Long.toString(Math.round(millis)));
        MDC.put("attemptEvents", Integer.toString(events));
        MDC.put("reason", reason);
        LOG.info("attempt broke");
        MDC.clear();
    }
}
