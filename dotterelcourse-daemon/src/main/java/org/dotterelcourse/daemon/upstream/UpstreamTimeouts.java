package org.dotterelcourse.daemon.upstream;

import java.time.Duration;

/**
 * How long a worker may stay silent.
 *
 * @param connect for a connection to be made
 * @param firstEvent from sending to the first byte of the answer
 * @param betweenEvents from one event to the next
 */
public record UpstreamTimeouts(Duration connect, Duration firstEvent, Duration betweenEvents) {
    /**
     * The figures for normal use. Connecting crosses at most a few milliseconds of network, so a second is a loss of
     * several packets. A first token is due in 1.9 s; five times that is not a queue any more. A token is due every
     * 44 ms; a step that takes a hundred times as long is not a step any more.
     */
    public static final UpstreamTimeouts DEFAULT =
            new UpstreamTimeouts(Duration.ofSeconds(1), Duration.ofSeconds(10), Duration.ofSeconds(5));
}
