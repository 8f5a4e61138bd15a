package org.dotterelcourse.gateway.forward;

/** The events of a stream that were passed on to the client, with their times. Not thread-safe. */
final class EventProgress {
    private static final long NANOS_PER_MILLI = 1_000_000L;

    private final long arrivalNanos;
    private String lastId = "";
    private long lastNanos;
    private long firstMillis;
    private long longestGapMillis;
    private double lastGapMillis;
    private int count;
    private int attemptCount;

    /**
     * Creates the progress of a stream without events.
     *
     * @param arrivalNanos the monotonic time of the request's arrival in nanoseconds
     */
    EventProgress(long arrivalNanos) {
        this.arrivalNanos = arrivalNanos;
    }

    /** Continues after an event that the client has got by other means. */
    void continueAfter(String id) {
        lastId = id;
    }

    /** Records that an attempt begins. */
    void beginAttempt() {
        attemptCount = 0;
    }

    /** Records that an event is passed on to the client. */
    void record(String id, long nowNanos) {
        lastId = id;
        count++;
        attemptCount++;
        lastGapMillis = lastNanos == 0 ? 0 : (nowNanos - lastNanos) / (double) NANOS_PER_MILLI;
        if (lastNanos == 0) {
            firstMillis = (nowNanos - arrivalNanos) / NANOS_PER_MILLI;
        } else {
            longestGapMillis = Math.max(longestGapMillis, (nowNanos - lastNanos) / NANOS_PER_MILLI);
        }
        lastNanos = nowNanos;
    }

    /** Returns the id of the last event, or empty if there was none. */
    String lastId() {
        return lastId;
    }

    /** Returns the number of events passed on to the client. */
    int count() {
        return count;
    }

    /** Returns the number of events passed on from the current worker. */
    int attemptCount() {
        return attemptCount;
    }

    /** Returns the time in milliseconds between the last two events; 0 before the second event. */
    double lastGapMillis() {
        return lastGapMillis;
    }

    /** Returns the time in milliseconds from the request's arrival to its first event; 0 if there was no event. */
    long firstMillis() {
        return firstMillis;
    }

    /** Returns the longest time in milliseconds between two consecutive events; 0 before the second event. */
    long longestGapMillis() {
        return longestGapMillis;
    }
}
