package org.dotterelcourse.coordination.transport;

/**
 * Bounds of a transport. The heartbeat is what an idle link costs: a daemon of a fleet of 340 keeps at most about 70
 * links, and at one heartbeat of about 45 bytes every two seconds they take 1.6 KB a second.
 *
 * @param messageBytes largest body by TCP; a longer one isn't sent, and a peer that announces one is cut off
 * @param maxDatagramBytes largest body by UDP
 * @param queueMessages how many messages wait for a link; the oldest is dropped for a new one
 * @param queueAgeNanos how long a message waits for a link before it is dropped
 * @param heartbeatNanos period of heartbeats on each link
 * @param silenceNanos a link on which nothing arrives, or nothing sent is confirmed, for so long is closed
 * @param idleNanos a link without messages for so long is closed
 * @param backoffNanos wait after a first failed connection; doubles with each further one
 * @param backoffCeilingNanos longest wait between two attempts to connect
 */
public record TransportLimits(
        int messageBytes,
        int maxDatagramBytes,
        int queueMessages,
        long queueAgeNanos,
        long heartbeatNanos,
        long silenceNanos,
        long idleNanos,
        long backoffNanos,
        long backoffCeilingNanos) {

    private static final long MILLISECOND = 1_000_000L;
    private static final long SECOND = 1_000 * MILLISECOND;
    private static final int MEBIBYTE = 1 << 20;
    private static final int DATAGRAM = 1_400;
    private static final int QUEUE = 1_024;

    /** Limits for a fleet of a few hundred processes. */
    public static final TransportLimits STANDARD = new TransportLimits(
            2 * MEBIBYTE,
            DATAGRAM,
            QUEUE,
            5 * SECOND,
            2 * SECOND,
            5 * SECOND,
            20 * SECOND,
            100 * MILLISECOND,
            5 * SECOND);

    /**
     * The same limits with other times for silence, for tests and for fleets on faster networks.
     *
     * @param heartbeat period of heartbeats in nanoseconds
     * @param silence silence in nanoseconds after which a link is closed
     * @return the changed limits
     */
    public TransportLimits withSilence(long heartbeat, long silence) {
        return new TransportLimits(
                messageBytes,
                maxDatagramBytes,
                queueMessages,
                queueAgeNanos,
                heartbeat,
                silence,
                idleNanos,
                backoffNanos,
                backoffCeilingNanos);
    }

    /**
     * The same limits with another largest message.
     *
     * @param bytes largest body by TCP
     * @return the changed limits
     */
    public TransportLimits withMessageBytes(int bytes) {
        return new TransportLimits(
                bytes,
                maxDatagramBytes,
                queueMessages,
                queueAgeNanos,
                heartbeatNanos,
                silenceNanos,
                idleNanos,
                backoffNanos,
                backoffCeilingNanos);
    }
}
