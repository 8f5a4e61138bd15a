package org.dotterelcourse.gateway.edge;

import org.dotterelcourse.gateway.forward.Call;
import org.jboss.logging.Logger;
import org.jboss.logging.MDC;

/** Writes one line for each request when it has ended: what decided it, and how it ended. */
final class RequestLog {
    private static final Logger LOG = Logger.getLogger("org.dotterelcourse.requests");
    private static final long NANOS_PER_MILLI = 1_000_000L;

    private final String id;
    private final long arrivalNanos;
    private Call call;
    private int status;
    private String reason = "";

    RequestLog(String id, long arrivalNanos) {
        this.id = id;
        this.arrivalNanos = arrivalNanos;
    }

    void call(Call admitted) {
        call = admitted;
    }

    void status(int value, String why) {
        status = value;
        reason = why;
    }

    void broken(Throwable error) {
        reason = "broken: " + error.getMessage();
    }

    void clientGone() {
        reason = "client gone";
    }

    void end(long nowNanos) {
        MDC.put("request", id);
        MDC.put("millis", Long.toString((nowNanos - arrivalNanos) / NANOS_PER_MILLI));
        MDC.put("status", Integer.toString(status));
        if (!reason.isEmpty()) {
            MDC.put("reason", reason);
        }
        if (call != null) {
            MDC.put("route", call.terms().route().name());
            MDC.put("customer", call.terms().customer());
            MDC.put("worker", call.lastWorker());
            MDC.put("sends", Integer.toString(call.sends()));
            MDC.put("waitedMillis", Long.toString(call.waitedMillis()));
            MDC.put("urgency", Integer.toString(call.terms().priority()));
            if (call.terms().route().isStreaming()) {
                MDC.put("firstEventMillis", Long.toString(call.firstEventMillis()));
                MDC.put("longestPauseMillis", Long.toString(call.longestPauseMillis()));
                call.terms().prompt().ifPresent(prompt -> MDC.put("prompt", Integer.toString(prompt.promptTokens())));
            }
        }
        LOG.info("request ended");
        MDC.clear();
    }
}
