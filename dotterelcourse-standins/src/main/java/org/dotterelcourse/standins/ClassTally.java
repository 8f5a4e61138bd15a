package org.dotterelcourse.standins;

import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

import org.HdrHistogram.Histogram;

/** Counts what becomes of one class's requests. Safe for use by several threads. */
final class ClassTally {
    private static final int DIGITS = 3;
    private static final double NANOS_PER_MILLI = 1e6;

    private final LoadClass requestClass;
    private final Histogram first = new Histogram(DIGITS);
    private final Histogram interval = new Histogram(DIGITS);
    private final Histogram whole = new Histogram(DIGITS);
    private final Set<String> sentIds = new HashSet<>();
    private final Set<String> notRunIds = new HashSet<>();
    private final Map<String, Integer> reasons = new TreeMap<>();
    private long answered;
    private long unknown;
    private long wrong;
    private long truncated;
    private long cut;
    private long skipped;
    private long attained;
    private long tokens;
    private long goodTokens;

    ClassTally(LoadClass requestClass) {
        this.requestClass = requestClass;
    }

    synchronized void sent(String id) {
        sentIds.add(id);
    }

    synchronized void skipped() {
        skipped++;
    }

    synchronized void ended(String id, CallOutcome outcome) {
        if (outcome instanceof CallOutcome.Answered answer) {
            answered(answer);
        } else if (outcome instanceof CallOutcome.NotRun refused) {
            notRunIds.add(id);
            reasons.merge("not-run " + refused.reason(), 1, Integer::sum);
        } else if (outcome instanceof CallOutcome.Unknown lost) {
            unknown++;
            cut += lost.cut() ? 1 : 0;
            reasons.merge("unknown " + lost.reason(), 1, Integer::sum);
        } else if (outcome instanceof CallOutcome.Wrong) {
            wrong++;
        } else {
            truncated++;
        }
    }

    synchronized Map<String, Integer> reasons() {
        return new TreeMap<>(reasons);
    }

    synchronized long tokens() {
        return tokens;
    }

    synchronized ClassResult result(Map<String, Integer> runs) {
        long ranAnyway =
                notRunIds.stream().filter(id -> runs.getOrDefault(id, 0) > 0).count();
        long duplicates = requestClass.idempotent()
                ? 0
                : sentIds.stream().filter(id -> runs.getOrDefault(id, 0) > 1).count();
        return new ClassResult(
                requestClass.name(),
                sentIds.size(),
                answered,
                notRunIds.size(),
                unknown,
                wrong,
                truncated,
                cut,
                skipped,
                attained,
                millis(first, 50),
                millis(first, 95),
                millis(first, 99),
                millis(interval, 95),
                millis(whole, 95),
                tokens,
                goodTokens,
                ranAnyway,
                duplicates);
    }

    private void answered(CallOutcome.Answered answer) {
        answered++;
        first.recordValue(Math.max(0, answer.firstNanos()));
        interval.recordValue(Math.max(0, answer.intervalNanos()));
        whole.recordValue(Math.max(0, answer.wholeNanos()));
        tokens += answer.tokens();
        boolean soon = answer.firstNanos() <= TimeUnit.MILLISECONDS.toNanos(requestClass.targetMillis());
        boolean steady = requestClass.tokenIntervalMillis() == 0
                || answer.intervalNanos() <= TimeUnit.MILLISECONDS.toNanos(requestClass.tokenIntervalMillis());
        if (soon && steady) {
            attained++;
            goodTokens += answer.tokens();
        }
    }

    private static double millis(Histogram histogram, double percentile) {
        return histogram.getTotalCount() == 0 ? 0 : histogram.getValueAtPercentile(percentile) / NANOS_PER_MILLI;
    }
}
