package org.dotterelcourse.coordination.membership;

/** How late the ticks of this process are because its thread is busy. Answers of others may wait to be read then. */
final class TickLateness {
    /** Bounds the part of its time that a process that is behind spends on its own gossip. */
    private static final int GOSSIP_FACTOR = 8;

    /** After a pause, however long, a process must tell others soon that it lives. */
    private static final long MAX_GOSSIP_DELAY_NANOS = 3_000_000_000L;

    private final long tickNanos;
    private long lastTickNanos;
    private long latenessNanos;

    TickLateness(long tickNanos, long nowNanos) {
        this.tickNanos = tickNanos;
        lastTickNanos = nowNanos;
    }

    /** Records a tick, and returns whether this process is behind. */
    boolean recordTick(long nowNanos) {
        latenessNanos = Math.max(0, nowNanos - lastTickNanos - tickNanos);
        lastTickNanos = nowNanos;
        return latenessNanos > tickNanos;
    }

    /** Returns by how much the last tick was late, in nanoseconds. */
    long nanos() {
        return latenessNanos;
    }

    /** Returns the time in nanoseconds by which rounds of gossip are further apart. */
    long gossipDelayNanos() {
        return Math.min(GOSSIP_FACTOR * latenessNanos, MAX_GOSSIP_DELAY_NANOS);
    }
}
