package org.dotterelcourse.gateway.forward;

import java.util.OptionalLong;
import java.util.random.RandomGenerator;

import org.dotterelcourse.gateway.GatewayState;

/**
 * Determines when clients should retry while all workers of an upstream have asked this process to back off. Such
 * requests are rejected at once: a worker that accepts the request within its latency target is unlikely.
 */
final class SharedBackoff {
    static final String REASON = "all workers have asked to back off";

    /** Shortest Retry-After, as for a full worker. */
    private static final long MIN_RETRY_AFTER_MILLIS = 250;

    /** Clients return spread over this fraction of the time, as all at once would overload the workers again. */
    private static final double SPREAD = 0.25;

    private static final double MAX_SPREAD_MILLIS = 2_000;

    private final GatewayState state;
    private final RandomGenerator random;

    SharedBackoff(GatewayState state, RandomGenerator random) {
        this.state = state;
        this.random = random;
    }

    /**
     * Returns after how many milliseconds the client should retry: not before the first worker's backoff has ended. Empty
     * unless all workers of the call's upstream that can serve it have asked for a backoff.
     */
    OptionalLong retryAfterMillis(Call call, long nowNanos) {
        OptionalLong remaining = state.workers()
                .sharedBackoffMillis(call.attributes().upstream().name(), call.versions()::accepts, nowNanos);
        if (remaining.isEmpty()) {
            return remaining;
        }
        long millis = Math.max(MIN_RETRY_AFTER_MILLIS, remaining.getAsLong());
        return OptionalLong.of(millis + (long) (random.nextDouble() * Math.min(MAX_SPREAD_MILLIS, SPREAD * millis)));
    }
}
