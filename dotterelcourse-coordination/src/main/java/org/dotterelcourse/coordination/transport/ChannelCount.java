package org.dotterelcourse.coordination.transport;

/**
 * What one channel has carried since the transport started, envelopes included.
 *
 * @param sentMessages messages written
 * @param sentBytes bytes written
 * @param receivedMessages messages read
 * @param receivedBytes bytes read
 * @param dropped messages given up: oversized, too old, or pushed out of a full queue
 */
public record ChannelCount(
        long sentMessages, long sentBytes, long receivedMessages, long receivedBytes, long dropped) {}
