package org.dotterelcourse.gateway.edge;

import org.dotterelcourse.gateway.forward.Call;
import org.jboss.logging.Logger;
import org.jboss.logging.MDC;

/** Writes one log line per request at its end, with the outcome and the figures that explain it. */
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

    void setCall(Call admitted) {
        call = admitted;
    }

    void setStatus(int newStatus, String newReason) {
        status = newStatus;
        reason = newReason;
    }

    void recordFailure(Throwable error) {
        reason = "broken: " + error.getMessage();
    }

    void recordClientDisconnect() {
        reason = "client gone";
    }

    void write(long nowNanos) {
        MDC.put("request", id);
        MDC.put("millis", Long.toString((nowNanos - arrivalNanos) / NANOS_PER_MILLI));
        MDC.put("status", Integer.toString(status));
        if (!reason.isEmpty()) {
            MDC.put("reason", reason);
        }
        if (call != null) {
            MDC.put("route", call.attributes().route().name());
            MDC.put("customer", call.attributes().customer());
            MDC.put("worker", call.lastWorkerId());
            MDC.put("version", call.lastWorkerVersion());
            if (!call.relayPeer().isEmpty()) {
                MDC.put("relay", call.relayPeer());
            }
            call.attributes().resumes().ifPresent(resumed -> MDC.put("resumes", resumed));
            MDC.put("sends", Integer.toString(call.sendCount()));
            MDC.put("waitedMillis", Long.toString(call.firstSendMillis()));
            MDC.put("urgency", Integer.toString(call.attributes().priority()));
            if (call.attributes().route().isStreaming()) {
                MDC.put("firstEventMillis", Long.toString(call.firstEventMillis()));
                MDC.put("longestPauseMillis", Long.toString(call.longestEventGapMillis()));
                call.attributes()
                        .prompt()
                        .ifPresent(prompt -> MDC.put("prompt", Integer.toString(prompt.promptTokens())));
            }
        }
        LOG.info("request ended");
        MDC.clear();
    }
}
