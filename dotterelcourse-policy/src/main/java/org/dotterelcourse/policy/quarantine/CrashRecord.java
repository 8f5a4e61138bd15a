package org.dotterelcourse.policy.quarantine;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** The crashes under one request that have not been explained otherwise. */
final class CrashRecord {
    private static final int WEIGHT_BEFORE_OUTPUT = 2;
    private static final int WEIGHT_DURING_OUTPUT = 1;

    private final Map<Integer, Mark> marks = new HashMap<>();
    private boolean finished;
    private long finishedNanos;
    private long touchedNanos;

    /**
     * A run that ended with its worker.
     *
     * @param worker incarnation of the worker
     * @param weight how much it speaks against the request
     * @param sentNanos when the worker got it
     * @param crashedNanos when the worker crashed
     */
    record Mark(int worker, int weight, long sentNanos, long crashedNanos) {
        CrashNotice notice(Fingerprint request, long nowNanos) {
            CrashNotice.Ending ending = weight == WEIGHT_BEFORE_OUTPUT
                    ? CrashNotice.Ending.CRASHED_BEFORE_OUTPUT
                    : CrashNotice.Ending.CRASHED_DURING_OUTPUT;
            return new CrashNotice(
                    request,
                    ending,
                    worker,
                    (crashedNanos - sentNanos) / RequestQuarantine.NANOS_PER_MILLI,
                    (nowNanos - crashedNanos) / RequestQuarantine.NANOS_PER_MILLI);
        }
    }

    static int weight(boolean beforeOutput) {
        return beforeOutput ? WEIGHT_BEFORE_OUTPUT : WEIGHT_DURING_OUTPUT;
    }

    /** Whether this is news. A worker crashes once, so that its incarnation tells the mark. */
    boolean crashed(Mark mark, long nowNanos) {
        boolean explained = finished && mark.crashedNanos() - finishedNanos <= 0;
        if (explained || marks.putIfAbsent(mark.worker(), mark) != null) {
            return false;
        }
        touchedNanos = nowNanos;
        return true;
    }

    /** Whether this is news. */
    boolean finished(long atNanos, long nowNanos) {
        if (finished && atNanos - finishedNanos <= 0) {
            return false;
        }
        finished = true;
        finishedNanos = atNanos;
        touchedNanos = nowNanos;
        return marks.values().removeIf(mark -> mark.crashedNanos() - atNanos <= 0);
    }

    void forget(long beforeNanos) {
        marks.values().removeIf(mark -> mark.crashedNanos() - beforeNanos < 0);
    }

    boolean outdated(long beforeNanos) {
        return marks.isEmpty() && touchedNanos - beforeNanos < 0;
    }

    boolean suspected() {
        return !marks.isEmpty();
    }

    long touchedNanos() {
        return touchedNanos;
    }

    /**
     * Crashes that came one after the other: a run counts only if it began after the one before had ended. Workers that
     * crash together, under requests of the same content, are one event.
     */
    List<Mark> chain() {
        List<Mark> ordered = new ArrayList<>(marks.values());
        ordered.sort(Comparator.comparingLong(Mark::crashedNanos));
        List<Mark> chain = new ArrayList<>();
        for (Mark mark : ordered) {
            if (chain.isEmpty()
                    || mark.sentNanos() - chain.get(chain.size() - 1).crashedNanos() > 0) {
                chain.add(mark);
            }
        }
        return chain;
    }
}
