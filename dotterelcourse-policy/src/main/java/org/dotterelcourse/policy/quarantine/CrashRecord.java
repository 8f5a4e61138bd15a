package org.dotterelcourse.policy.quarantine;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The crashes of workers that ran one request, or requests with one part of their prompts. Crashes before the end of a run
 * that finished are removed, because the request or the part did not cause them.
 */
final class CrashRecord {
    private static final int WEIGHT_BEFORE_OUTPUT = 2;
    private static final int WEIGHT_DURING_OUTPUT = 1;

    /** By incarnation of the worker: each incarnation crashes only once. */
    private final Map<Integer, Crash> crashes = new HashMap<>();

    private boolean hasFinishedRun;
    private long finishedNanos;
    private long updatedNanos;

    /**
     * A run that ended because its worker crashed.
     *
     * @param worker incarnation of the worker
     * @param weight weight as evidence against the request
     * @param sentNanos monotonic time in nanoseconds at which the worker got the request
     * @param crashedNanos monotonic time in nanoseconds at which the worker crashed
     */
    record Crash(int worker, int weight, long sentNanos, long crashedNanos) {
        CrashNotice toNotice(CrashCause cause, long nowNanos) {
            CrashNotice.Ending ending = weight == WEIGHT_BEFORE_OUTPUT
                    ? CrashNotice.Ending.CRASHED_BEFORE_OUTPUT
                    : CrashNotice.Ending.CRASHED_DURING_OUTPUT;
            return new CrashNotice(
                    cause,
                    ending,
                    worker,
                    (crashedNanos - sentNanos) / RequestQuarantine.NANOS_PER_MILLI,
                    (nowNanos - crashedNanos) / RequestQuarantine.NANOS_PER_MILLI);
        }
    }

    static int weight(boolean beforeOutput) {
        return beforeOutput ? WEIGHT_BEFORE_OUTPUT : WEIGHT_DURING_OUTPUT;
    }

    /** Adds a crash; returns false if it is already recorded or precedes a run that finished. */
    boolean addCrash(Crash crash, long nowNanos) {
        boolean cleared = hasFinishedRun && crash.crashedNanos() - finishedNanos <= 0;
        if (cleared || crashes.putIfAbsent(crash.worker(), crash) != null) {
            return false;
        }
        updatedNanos = nowNanos;
        return true;
    }

    /** Removes the crashes up to the end of a run that finished; returns whether this is news to others. */
    boolean recordFinishedRun(long endNanos, long nowNanos) {
        if (hasFinishedRun && endNanos - finishedNanos <= 0) {
            return false;
        }
        boolean isNews = !hasFinishedRun;
        hasFinishedRun = true;
        finishedNanos = endNanos;
        isNews |= crashes.values().removeIf(crash -> crash.crashedNanos() - endNanos <= 0);
        if (isNews) {
            updatedNanos = nowNanos;
        }
        return isNews;
    }

    void removeCrashesBefore(long timeNanos) {
        crashes.values().removeIf(crash -> crash.crashedNanos() - timeNanos < 0);
    }

    boolean isExpired(long timeNanos) {
        return crashes.isEmpty() && updatedNanos - timeNanos < 0;
    }

    /** Returns whether all crashes of another record are recorded here too. */
    boolean includesCrashesOf(CrashRecord other) {
        return crashes.keySet().containsAll(other.crashes.keySet());
    }

    /** Returns the incarnations of the workers that crashed. */
    Set<Integer> crashedWorkers() {
        return crashes.keySet();
    }

    boolean hasFinishedRun() {
        return hasFinishedRun;
    }

    boolean hasCrashes() {
        return !crashes.isEmpty();
    }

    long updatedNanos() {
        return updatedNanos;
    }

    /**
     * Returns the consecutive crashes: a run counts only if it began after the previous one in the list had ended.
     * Workers that crash at the same time while they run copies of the request count as one crash.
     */
    List<Crash> consecutiveCrashes() {
        List<Crash> ordered = new ArrayList<>(crashes.values());
        ordered.sort(Comparator.comparingLong(Crash::crashedNanos));
        List<Crash> counted = new ArrayList<>();
        for (Crash crash : ordered) {
            if (counted.isEmpty()
                    || crash.sentNanos() - counted.get(counted.size() - 1).crashedNanos() > 0) {
                counted.add(crash);
            }
        }
        return counted;
    }
}
