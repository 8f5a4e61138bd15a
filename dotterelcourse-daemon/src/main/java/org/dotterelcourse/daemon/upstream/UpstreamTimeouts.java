package org.dotterelcourse.daemon.upstream;

import java.time.Duration;

/**
 * Timeouts of calls to a model engine.
 *
 * @param connect the maximum time to establish a connection
 * @param firstEvent the maximum time from subscription to the first event of the answer
 * @param betweenEvents the maximum time between two consecutive events
 */
public record UpstreamTimeouts(Duration connect, Duration firstEvent, Duration betweenEvents) {
    /**
     * The timeouts for production use. The network latency is at most a few milliseconds, so connecting takes 1 s only
     * if several packets are lost. The first token is due in 1.9 s; five times that delay is not explained by queueing.
     * A token is due every 44 ms; a hundred times that delay is not explained by a slow decoding step.
     */
    public static final UpstreamTimeouts DEFAULT =
            new UpstreamTimeouts(Duration.ofSeconds(1), Duration.ofSeconds(10), Duration.ofSeconds(5));
}
