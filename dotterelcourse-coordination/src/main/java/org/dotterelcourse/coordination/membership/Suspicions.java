package org.dotterelcourse.coordination.membership;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** The running suspicion timeouts, and the times at which suspects are pinged directly. */
final class Suspicions {

    private static final int MAX_PINGS_PER_TICK = 64;

    private final Map<String, Suspicion> running = new HashMap<>();

    /**
     * Starts the timeout of a suspect.
     *
     * @param firstPingNanos when to ping the suspect directly for the first time: at once if this process raised the
     *     suspicion or cannot confirm a reported death, later if another member raised it
     */
    void start(String name, long deadlineNanos, long firstPingNanos) {
        running.put(name, new Suspicion(deadlineNanos, firstPingNanos));
    }

    void cancel(String name) {
        running.remove(name);
    }

    /** Moves a deadline forward; a deadline that is already earlier stays. */
    void shorten(String name, long deadlineNanos) {
        Suspicion suspicion = running.get(name);
        if (suspicion != null && suspicion.deadlineNanos - deadlineNanos > 0) {
            suspicion.deadlineNanos = deadlineNanos;
        }
    }

    /** Sets the deadline of all suspects. */
    void restartAll(long deadlineNanos) {
        for (Suspicion suspicion : running.values()) {
            suspicion.deadlineNanos = deadlineNanos;
        }
    }

    /** Moves the deadlines of all suspects back. */
    void postponeAll(long nanos) {
        for (Suspicion suspicion : running.values()) {
            suspicion.deadlineNanos += nanos;
        }
    }

    List<String> expired(long nowNanos) {
        List<String> names = new ArrayList<>();
        for (Map.Entry<String, Suspicion> entry : running.entrySet()) {
            if (nowNanos - entry.getValue().deadlineNanos >= 0) {
                names.add(entry.getKey());
            }
        }
        return names;
    }

    /** Returns a bounded number of suspects that are due for a direct ping, and schedules their next one. */
    List<String> takeDueForPing(long nowNanos, long periodNanos) {
        List<String> names = new ArrayList<>();
        for (Map.Entry<String, Suspicion> entry : running.entrySet()) {
            Suspicion suspicion = entry.getValue();
            if (nowNanos - suspicion.nextPingNanos >= 0 && names.size() < MAX_PINGS_PER_TICK) {
                suspicion.recordPing(nowNanos, periodNanos);
                names.add(entry.getKey());
            }
        }
        return names;
    }

    /**
     * Returns whether the first direct ping of a suspect was sent at least {@code nanos} ago. If none was sent yet, one
     * becomes due now.
     */
    boolean wasPingedBefore(String name, long nanos, long nowNanos) {
        Suspicion suspicion = running.get(name);
        if (suspicion == null) {
            return true;
        }
        if (!suspicion.pinged) {
            suspicion.nextPingNanos = nowNanos;
            return false;
        }
        return nowNanos - suspicion.firstPingNanos >= nanos;
    }

    /** The timeout of one suspect. */
    private static final class Suspicion {
        private long deadlineNanos;
        private long nextPingNanos;
        private boolean pinged;
        private long firstPingNanos;

        private Suspicion(long deadlineNanos, long nextPingNanos) {
            this.deadlineNanos = deadlineNanos;
            this.nextPingNanos = nextPingNanos;
        }

        private void recordPing(long nowNanos, long periodNanos) {
            if (!pinged) {
                pinged = true;
                firstPingNanos = nowNanos;
            }
            nextPingNanos = nowNanos + periodNanos;
        }
    }
}
