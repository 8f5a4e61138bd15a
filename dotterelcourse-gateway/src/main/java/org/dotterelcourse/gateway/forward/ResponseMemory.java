package org.dotterelcourse.gateway.forward;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import io.netty.handler.codec.http.HttpObjectDecoder;
import org.jboss.logging.Logger;

/**
 * Bounds the bytes that all responses of workers and peers hold together: bodies until they are passed on, and incomplete
 * events of streams. What would exceed the bound is not read yet, so that it stays with its sender.
 *
 * <p>A response is read on while it holds less than what is free. The more responses hold much, the less each of them gets,
 * and one that has just begun always finds room. Of those that wait, one at a time is read to its end nevertheless, the one
 * that has waited longest: otherwise large responses could wait for each other until their deadlines. Together they hold at
 * most the capacity and one largest response. Used on the event loop only.
 */
final class ResponseMemory {
    private static final Logger LOG = Logger.getLogger(ResponseMemory.class);

    /** Leaves room for what else a process holds, and for one more copy of a body while it is sent. */
    private static final int HEAP_FRACTION = 4;

    /** Largest part of a body that the HTTP codec delivers at once. */
    private static final int PACKET_BYTES = HttpObjectDecoder.DEFAULT_MAX_CHUNK_SIZE;

    private static final long LOG_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(10);

    private final long capacity;
    private final int packetBytes;
    private final LongSupplier nanoClock;
    private final Counter waits;
    private final Deque<Share> waiting = new ArrayDeque<>();
    private Share preferred;
    private long held;
    private boolean isWaking;
    private boolean hasLogged;
    private long loggedNanos;

    /**
     * Creates a memory that holds nothing.
     *
     * @param capacity bytes that all responses hold together
     * @param packetBytes largest part of a response that is read at once
     * @param nanoClock returns the monotonic time in nanoseconds
     * @param metrics where the counter of responses that had to wait is registered
     */
    ResponseMemory(long capacity, int packetBytes, LongSupplier nanoClock, MetricRegistry metrics) {
        this.capacity = capacity;
        this.packetBytes = packetBytes;
        this.nanoClock = nanoClock;
        this.waits = metrics.counter("gateway.responses.waits-for-memory");
    }

    /** Creates a memory of a fraction of the largest heap of this process. */
    static ResponseMemory ofHeap(LongSupplier nanoClock, MetricRegistry metrics) {
        return new ResponseMemory(Runtime.getRuntime().maxMemory() / HEAP_FRACTION, PACKET_BYTES, nanoClock, metrics);
    }

    /** Returns the share of a response that holds nothing yet. */
    Share open() {
        return new Share();
    }

    /** Returns the bytes that are held, with those that are about to be read. */
    long held() {
        return held;
    }

    /** Returns the bytes that are free for all but the preferred response, which may exceed the capacity. */
    private long free() {
        return capacity - held + (preferred == null ? 0 : preferred.bytes + preferred.reserved);
    }

    /** The bytes that one response holds. */
    final class Share {
        private long bytes;
        private int reserved;
        private Runnable reading;

        /** Records that the response holds more bytes. */
        void add(long count) {
            set(bytes + count);
        }

        /** Records how many bytes the response holds, after a packet has arrived. */
        void set(long count) {
            long change = count - bytes;
            reserve(0);
            bytes = count;
            held += change;
            if (change < 0) {
                wake();
            }
        }

        /**
         * Reads on, now or when there is room.
         *
         * @param task reads the next packet; not run after {@link #endReading()}
         */
        void whenReadable(Runnable task) {
            reserve(0);
            if (preferred == null && !fits() && held <= capacity) {
                preferred = this;
            }
            if (preferred == this || fits()) {
                reserve(packetBytes);
                task.run();
            } else {
                reading = task;
                waiting.add(this);
                if (!isWaking) {
                    recordWait(bytes);
                }
            }
        }

        private boolean fits() {
            long free = free();
            return bytes < free && packetBytes <= free;
        }

        private void reserve(int count) {
            held += count - reserved;
            reserved = count;
        }

        /** Records that nothing more is read. */
        void endReading() {
            reserve(0);
            if (reading != null) {
                reading = null;
                waiting.remove(this);
            }
            if (preferred == this) {
                preferred = null;
            }
            wake();
        }

        /** Releases everything that the response holds. */
        void close() {
            endReading();
            set(0);
        }
    }

    /** Lets those read on that have room now, in the order in which they began to wait. */
    private void wake() {
        if (isWaking || waiting.isEmpty()) {
            return;
        }
        isWaking = true;
        try {
            for (int left = waiting.size(); left > 0 && !waiting.isEmpty(); left--) {
                Share next = waiting.remove();
                Runnable task = next.reading;
                next.reading = null;
                next.whenReadable(task);
            }
        } finally {
            isWaking = false;
        }
    }

    private void recordWait(long bytes) {
        waits.inc();
        long nowNanos = nanoClock.getAsLong();
        if (!hasLogged || nowNanos - loggedNanos >= LOG_INTERVAL_NANOS) {
            hasLogged = true;
            loggedNanos = nowNanos;
            LOG.warnf(
                    "responses hold %d of %d bytes, one that holds %d is not read on until others are passed on;"
                            + " %d wait",
                    held, capacity, bytes, waiting.size());
        }
    }
}
