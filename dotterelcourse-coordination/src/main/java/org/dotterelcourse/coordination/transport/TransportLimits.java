package org.dotterelcourse.coordination.transport;

/**
 * Limits and timeouts of a transport. The heartbeat period sets the cost of an idle link: a daemon in a fleet of 340
 * keeps at most about 70 links, and one heartbeat of about 45 bytes every two seconds on each takes 1.6 KB per second.
 *
 * @param maxMessageBytes largest body sent by TCP; a larger one is dropped, and a connection whose peer announces a
 *     larger frame is closed
 * @param maxDatagramBytes largest body sent by UDP; a larger one is dropped
 * @param maxQueuedMessages largest number of messages queued per link; the oldest is dropped to admit a new one
 * @param maxQueueAgeNanos time in nanoseconds after which a queued message is dropped
 * @param heartbeatNanos period of the heartbeats on each connection, in nanoseconds
 * @param silenceTimeoutNanos time in nanoseconds without a confirmation of sent data after which a connection is closed
 * @param idleTimeoutNanos time in nanoseconds without messages after which a connection is closed
 * @param initialBackoffNanos base delay in nanoseconds after the first failed connection attempt; doubles with each
 *     further failure
 * @param maxBackoffNanos upper bound of the base delay in nanoseconds
 */
public record TransportLimits(
        int maxMessageBytes,
        int maxDatagramBytes,
        int maxQueuedMessages,
        long maxQueueAgeNanos,
        long heartbeatNanos,
        long silenceTimeoutNanos,
        long idleTimeoutNanos,
        long initialBackoffNanos,
        long maxBackoffNanos) {

    private static final long MILLISECOND_NANOS = 1_000_000L;
    private static final long SECOND_NANOS = 1_000 * MILLISECOND_NANOS;
    private static final int MEBIBYTE = 1 << 20;
    private static final int MAX_DATAGRAM_BYTES = 1_400;
    private static final int MAX_QUEUED_MESSAGES = 1_024;

    /** Limits for a fleet of a few hundred processes. */
    public static final TransportLimits STANDARD = new TransportLimits(
            2 * MEBIBYTE,
            MAX_DATAGRAM_BYTES,
            MAX_QUEUED_MESSAGES,
            5 * SECOND_NANOS,
            2 * SECOND_NANOS,
            5 * SECOND_NANOS,
            20 * SECOND_NANOS,
            100 * MILLISECOND_NANOS,
            5 * SECOND_NANOS);

    /**
     * Returns a copy with another heartbeat period and silence timeout, for tests and for fleets on faster networks.
     *
     * @param heartbeat period of heartbeats in nanoseconds
     * @param silenceTimeout time in nanoseconds without a confirmation after which a connection is closed
     * @return the changed limits
     */
    public TransportLimits withHeartbeat(long heartbeat, long silenceTimeout) {
        return new TransportLimits(
                maxMessageBytes,
                maxDatagramBytes,
                maxQueuedMessages,
                maxQueueAgeNanos,
                heartbeat,
                silenceTimeout,
                idleTimeoutNanos,
                initialBackoffNanos,
                maxBackoffNanos);
    }

    /**
     * Returns a copy with another limit for message bodies.
     *
     * @param bytes largest body sent by TCP, in bytes
     * @return the changed limits
     */
    public TransportLimits withMaxMessageBytes(int bytes) {
        return new TransportLimits(
                bytes,
                maxDatagramBytes,
                maxQueuedMessages,
                maxQueueAgeNanos,
                heartbeatNanos,
                silenceTimeoutNanos,
                idleTimeoutNanos,
                initialBackoffNanos,
                maxBackoffNanos);
    }
}
