package org.dotterelcourse.gateway.forward;

import org.dotterelcourse.gateway.GatewayState;

/** Decides whether a call may be sent to a further worker. */
final class RetryPolicy {
    /** No worker can respond within a shorter time, so the request is not sent. */
    private static final long MIN_REMAINING_MILLIS = 15;

    private final GatewayState state;

    RetryPolicy(GatewayState state) {
        this.state = state;
    }

    /** Returns whether enough time is left for a worker to respond. */
    static boolean hasTimeLeft(Call call, long nowNanos) {
        return call.remainingMillis(nowNanos) >= MIN_REMAINING_MILLIS;
    }

    /** Returns whether the call may be sent again, and if so takes the retry from the upstream's budget. */
    boolean tryAcquire(Call call, long nowNanos) {
        return call.sendCount() < call.attributes().route().maxAttempts()
                && hasTimeLeft(call, nowNanos)
                && state.retryBudget(call.attributes().upstream().name()).tryAcquire(nowNanos);
    }
}
