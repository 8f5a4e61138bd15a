package org.dotterelcourse.gateway.fleet;

import java.util.HashMap;
import java.util.Map;

import org.dotterelcourse.gateway.published.StorePosition;

/**
 * Decides whether the response to a peer that lags behind waits, because a large message that contains what it lacks is
 * still on its way along the {@link ForwardingTree}. Without the delay, every process that other changes overtake would
 * get the large message twice, the second time over the link of the one process that all of them ask.
 */
final class ResponseDelay {
    /** Time after which most of 340 processes have a configuration of 420 KB, if all have links of 7 Mbit/s. */
    static final long DELAY_MILLIS = 450;

    private static final long NANOS_PER_MILLI = 1_000_000L;

    private final Map<String, StorePosition> positions = new HashMap<>();
    private StorePosition largePosition = StorePosition.NONE;
    private long largeNanos;

    /**
     * Records that this process has sent or received a large message.
     *
     * @param position position up to which the message is complete
     * @param nowNanos current monotonic time in nanoseconds
     */
    void recordLargeMessage(StorePosition position, long nowNanos) {
        if (position.isAfter(largePosition)) {
            largePosition = position;
            largeNanos = nowNanos;
        }
    }

    /**
     * Records up to which position a peer knows all changes. A restarted process reports a lower one than before.
     *
     * @param peer name of the peer
     * @param position position in its last report
     */
    void recordPeerPosition(String peer, StorePosition position) {
        positions.put(peer, position);
    }

    /**
     * Returns how long a response waits.
     *
     * @param peerPosition position in the request of the peer
     * @param nowNanos current monotonic time in nanoseconds
     * @return the delay in milliseconds; 0 if no large message is on its way to the peer. A process without any item gets
     *     its response at once, because it has just started and the message was not sent to it
     */
    long delayMillis(StorePosition peerPosition, long nowNanos) {
        boolean isLacking = largePosition.isAfter(peerPosition) && peerPosition.revision() > 0;
        long elapsedMillis = (nowNanos - largeNanos) / NANOS_PER_MILLI;
        return isLacking ? Math.max(0, DELAY_MILLIS - elapsedMillis) : 0;
    }

    /**
     * Returns whether a peer has reported the position of the large message, so that a delayed response is not needed.
     *
     * @param peer name of the peer
     * @return false if it still lags behind, or if its position is unknown
     */
    boolean hasArrived(String peer) {
        return !largePosition.isAfter(positions.getOrDefault(peer, StorePosition.NONE));
    }
}
