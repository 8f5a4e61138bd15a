package org.dotterelcourse.policy.rate;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;

/**
 * Counts the requests at one brittle worker for the whole fleet, and decides whether it has room for one more. Not
 * thread-safe.
 *
 * <p>It handles workers that crash when they have to reject more than a few requests a second. The one process that keeps the
 * ledger of a worker learns of each rejection, so that what the worker teaches by rejecting does not depend on the number of
 * processes. The room that it has for requests is its slots, or what it held when it last rejected one, and one more at
 * intervals (additive increase).
 */
public final class SlotLedger {
    /** Shortest time after a rejection, and between two attempts to use more room than the worker had. */
    private static final double MIN_GROWTH_SECONDS = 0.5;

    /** Longest such time: a worker that has lost its other requests must be filled again. */
    private static final double MAX_GROWTH_SECONDS = 10;

    /** Time in which a rejection reaches the ledger; the requests sent within it could all be rejected. */
    private static final long FEEDBACK_NANOS = 10_000_000L;

    /** Longest time for which a request whose end was not seen is assumed to run on. */
    private static final long MAX_UNSEEN_NANOS = 5_000_000_000L;

    /** Weight of one request in the average duration. */
    private static final double DURATION_WEIGHT = 0.1;

    /** Average duration before the first request has ended. */
    private static final long INITIAL_DURATION_NANOS = 500_000_000L;

    /** Part of the rejections that a worker bears which are risked while it rejects: feedback may be late. */
    private static final double RESERVED_FRACTION = 0.7;

    private static final long SECOND_NANOS = 1_000_000_000L;
    private static final int NONE = -1;

    private final Map<Long, Running> running = new HashMap<>();
    private final Deque<Long> unseenEndsNanos = new ArrayDeque<>();
    private final Deque<Long> rejectionsNanos = new ArrayDeque<>();
    private final Deque<Long> sendsNanos = new ArrayDeque<>();
    private Bounds bounds = new Bounds(0, 0, 0);
    private int roomWhenFull = NONE;
    private long fullNanos;
    private int failedTrials;
    private double durationNanos = INITIAL_DURATION_NANOS;

    /**
     * What is known of the worker from elsewhere.
     *
     * @param slots requests that it runs concurrently, 0 if it may get none
     * @param maxRejections rejections per second that it bears
     * @param unaccounted requests of processes that do not ask this ledger
     */
    public record Bounds(int slots, double maxRejections, int unaccounted) {}

    /** How a request at the worker ended. */
    public enum End {
        /** The worker answered. */
        ANSWERED,
        /** The worker rejected it for want of room. */
        REJECTED,
        /** It does not run any more, or was not sent; nothing was learned about the worker's room. */
        GONE,
        /** It may still run there, since its client has left or its process is not heard of. */
        UNSEEN
    }

    private record Running(long sentNanos, int position, boolean isTrial) {}

    /**
     * Updates what is known of the worker from elsewhere.
     *
     * @param value the current bounds
     */
    public void updateBounds(Bounds value) {
        bounds = value;
    }

    /**
     * Returns whether the worker has room for one more request.
     *
     * @param nowNanos current monotonic time in nanoseconds
     * @return false if a request might be rejected more often than the worker bears
     */
    public boolean hasRoom(long nowNanos) {
        if (occupied(nowNanos) >= room(nowNanos)) {
            return false;
        }
        rejectionsNanos.removeIf(at -> nowNanos - at > SECOND_NANOS);
        sendsNanos.removeIf(at -> nowNanos - at > FEEDBACK_NANOS);
        return rejectionsNanos.size() + sendsNanos.size() < tolerated();
    }

    /** Returns how many requests may have been rejected within a second, or be on their way to be. */
    private int tolerated() {
        double bears = Math.min(Integer.MAX_VALUE, bounds.maxRejections());
        return (int) Math.max(1, rejectionsNanos.isEmpty() ? bears : bears * RESERVED_FRACTION);
    }

    /**
     * Records that a request is sent to the worker.
     *
     * @param request number of the request, unique in this ledger
     * @param nowNanos current monotonic time in nanoseconds
     */
    public void recordSend(long request, long nowNanos) {
        int position = occupied(nowNanos) + 1;
        running.put(request, new Running(nowNanos, position, roomWhenFull != NONE && position > roomWhenFull));
        sendsNanos.addLast(nowNanos);
    }

    /**
     * Records the end of a request; ignored if it is not at the worker.
     *
     * @param request number of the request
     * @param end how it ended
     * @param nowNanos current monotonic time in nanoseconds
     */
    public void recordEnd(long request, End end, long nowNanos) {
        Running ended = running.remove(request);
        if (ended == null) {
            return;
        }
        switch (end) {
            case ANSWERED -> recordAnswer(ended, nowNanos);
            case REJECTED -> recordRejection(ended, nowNanos);
            case UNSEEN -> unseenEndsNanos.addLast(nowNanos + (long) Math.min(durationNanos, MAX_UNSEEN_NANOS));
            default -> {
                // Neither room nor duration were observed.
            }
        }
    }

    private void recordAnswer(Running answered, long nowNanos) {
        durationNanos += DURATION_WEIGHT * (nowNanos - answered.sentNanos() - durationNanos);
        if (answered.isTrial()) {
            failedTrials = 0;
            roomWhenFull = answered.position() >= bounds.slots() ? NONE : roomWhenFull;
        }
    }

    private void recordRejection(Running rejected, long nowNanos) {
        int others = running.size() + bounds.unaccounted();
        roomWhenFull = Math.min(others, rejected.position() - 1);
        fullNanos = nowNanos;
        rejectionsNanos.addLast(nowNanos);
        failedTrials += rejected.isTrial() ? 1 : 0;
    }

    private int occupied(long nowNanos) {
        unseenEndsNanos.removeIf(end -> end - nowNanos <= 0);
        return running.size() + unseenEndsNanos.size() + bounds.unaccounted();
    }

    private int room(long nowNanos) {
        if (roomWhenFull == NONE) {
            return bounds.slots();
        }
        double grown = Math.floor((nowNanos - fullNanos) / (double) SECOND_NANOS / growthSeconds());
        return (int) Math.min(bounds.slots(), roomWhenFull + grown);
    }

    private double growthSeconds() {
        double seconds = Math.max(MIN_GROWTH_SECONDS, 2 / Math.max(bounds.maxRejections(), 0.01));
        return Math.min(MAX_GROWTH_SECONDS, seconds * (1 << Math.min(failedTrials, Integer.SIZE / 2)));
    }

    /**
     * Returns the number of requests at the worker that this ledger knows.
     *
     * @return requests whose end is not recorded
     */
    public int running() {
        return running.size();
    }

    /**
     * Returns the room of the worker as far as it is known, for logs and metrics.
     *
     * @param nowNanos current monotonic time in nanoseconds
     * @return number of requests
     */
    public int currentRoom(long nowNanos) {
        return room(nowNanos);
    }

    /**
     * Returns the expected time until a number of requests that wait have been sent.
     *
     * @param waiting number of requests
     * @param nowNanos current monotonic time in nanoseconds
     * @return time in nanoseconds
     */
    public long expectedWaitNanos(int waiting, long nowNanos) {
        return (long) (durationNanos * waiting / Math.max(1, room(nowNanos)));
    }
}
