package org.dotterelcourse.gateway.forward;

import java.util.ArrayList;
import java.util.List;

/** A body that arrives in packets. Small packets are joined, so that the buffer takes about as many bytes as the body. */
final class BodyBuffer {
    private static final int BLOCK_BYTES = 16 << 10;

    /** Packets of at least this size are kept as they are. */
    private static final int MIN_BLOCK_BYTES = BLOCK_BYTES / 4;

    private final ResponseMemory.Share share;
    private final int maxBytes;
    private final List<byte[]> blocks = new ArrayList<>(1);

    /** Bytes of the last block that are used; all of the others are. */
    private int usedBytes;

    private int length;

    /**
     * Creates an empty buffer.
     *
     * @param share records the bytes that the buffer takes
     * @param maxBytes the largest length of a body
     */
    BodyBuffer(ResponseMemory.Share share, int maxBytes) {
        this.share = share;
        this.maxBytes = maxBytes;
    }

    /**
     * Appends a packet, which must not be changed later.
     *
     * @throws WorkerConnectionException if the body exceeds the limit
     */
    void append(byte[] packet) {
        if (packet.length > maxBytes - length) {
            throw new WorkerConnectionException(
                    true, new IllegalStateException("body exceeds the limit of " + maxBytes + " bytes"));
        }
        length += packet.length;
        int copied = Math.min(packet.length, room());
        if (copied > 0) {
            System.arraycopy(packet, 0, blocks.get(blocks.size() - 1), usedBytes, copied);
            usedBytes += copied;
        }
        if (copied < packet.length) {
            addBlock(packet, copied);
        }
    }

    private int room() {
        return blocks.isEmpty() ? 0 : blocks.get(blocks.size() - 1).length - usedBytes;
    }

    private void addBlock(byte[] packet, int begin) {
        int rest = packet.length - begin;
        byte[] block = packet;
        if (begin > 0 || packet.length < MIN_BLOCK_BYTES && !blocks.isEmpty()) {
            block = new byte[Math.max(rest, BLOCK_BYTES)];
            System.arraycopy(packet, begin, block, 0, rest);
        }
        blocks.add(block);
        usedBytes = rest;
        share.add(block.length);
    }

    /** Returns the whole body. */
    byte[] toByteArray() {
        if (blocks.size() == 1 && blocks.get(0).length == length) {
            return blocks.get(0);
        }
        byte[] body = new byte[length];
        int position = 0;
        for (byte[] block : blocks) {
            int count = Math.min(block.length, length - position);
            System.arraycopy(block, 0, body, position, count);
            position += count;
        }
        blocks.clear();
        return body;
    }
}
