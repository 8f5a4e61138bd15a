package org.dotterelcourse.coordination.transport;

/**
 * Traffic of one channel since the transport was created. Byte counts include the envelopes.
 *
 * @param sentMessages messages written
 * @param sentBytes bytes written
 * @param receivedMessages messages read
 * @param receivedBytes bytes read
 * @param dropped messages that were not sent: larger than the limit, queued for too long, evicted from a full queue, or
 *     without a connection
 */
public record ChannelCount(
        long sentMessages, long sentBytes, long receivedMessages, long receivedBytes, long dropped) {}
