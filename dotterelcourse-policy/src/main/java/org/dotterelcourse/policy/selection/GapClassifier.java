package org.dotterelcourse.policy.selection;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;

/**
 * Determines the latency classes of the streams of one upstream from their targets, the learned time of steps with a prompt,
 * and the streams that share the engines with them.
 *
 * <p>It handles interactive streams of several kinds. A stream with a gap target of 400 ms is interactive, but its prompt
 * of 9,000 tokens takes 170 ms to read, so that two of these prompts break the gap target of 250 ms of streams with short
 * prompts on the same engine. Such streams therefore do not count as gap-sensitive while there are streams with a shorter
 * gap target. The streams with the shortest target are never separated from others by this rule. It depends on lengths and
 * shares that differ several times from the thresholds, not on measured times, so that it is the same in all processes.
 */
public final class GapClassifier {
    /** Half-life of the counted streams, as of the work of {@link EnginePartition}. */
    private static final double HALF_LIFE_NANOS = 30e9;

    /** Share of gap-sensitive streams above which streams with longer prompts are separated from them. */
    private static final double SEPARATE_SHARE = 0.05;

    /** Share below which they are no longer separated. */
    private static final double JOIN_SHARE = 0.02;

    /**
     * Time to read a prompt, relative to the gap target of other streams, above which it is too long to be read beside
     * them: two such prompts at a time, and the steps themselves, take most of an allowed gap.
     */
    private static final double MAX_PREFILL_FRACTION = 0.25;

    /** Number of different gap targets that are counted, to bound the memory. */
    private static final int MAX_TARGETS = 16;

    /**
     * Decayed count below which a gap target is removed: 200 s after a single stream. The shortest target, which the costs
     * depend on, must not be that of a route which no longer exists.
     */
    private static final double MIN_COUNT = 0.01;

    /** Increase of measured steps over the current threshold from which on it is raised. */
    private static final double RAISE_FACTOR = 1.25;

    /** Decrease of measured steps below the current threshold from which on it is lowered again. */
    private static final double LOWER_FACTOR = 0.67;

    private static final double MAX_LONG_STEP_MILLIS = 2 * LatencyClass.LONG_STEP_MILLIS;

    private final boolean separating;
    private final Map<Long, Streams> byGapTarget = new HashMap<>();
    private double longStepMillis = LatencyClass.LONG_STEP_MILLIS;
    private int tokensPerEvent = 1;

    /** Streams with one gap target: a decaying count, and whether longer prompts are separated from them. */
    private static final class Streams {
        private double count;
        private long updatedNanos;
        private boolean separates;

        double at(long nowNanos) {
            return count * Math.pow(0.5, Math.max(0, nowNanos - updatedNanos) / HALF_LIFE_NANOS);
        }
    }

    /**
     * Targets of a stream and the time that its prompt takes.
     *
     * @param gapTargetMillis longest gap between events in milliseconds for which an answer is on time; 0 for no target
     * @param firstEventTargetMillis latency target of the first event in milliseconds
     * @param tokensPerEvent tokens that an engine sends in one event
     * @param prefillMillis time to read its whole prompt on a nominal engine, in milliseconds
     */
    public record Stream(long gapTargetMillis, long firstEventTargetMillis, int tokensPerEvent, double prefillMillis) {}

    /**
     * Creates a classifier that has seen no streams.
     *
     * @param separating false to classify streams by their targets and the prior alone
     */
    public GapClassifier(boolean separating) {
        this.separating = separating;
    }

    /**
     * Updates the threshold of gap targets by the measured time of steps with a prompt. It is only raised above its prior,
     * for engines that read larger parts of prompts at a time: a measured mean below the prior may be due to short prompts,
     * and streams would become sensitive to gaps whenever longer prompts arrive. The gateway does not call it: an overload
     * lengthens all steps, and streams would become gap-sensitive just when their engines are needed by all.
     *
     * @param mixedStepMillis mean time of such steps over all engines in milliseconds; 0 if unknown
     */
    public void updateMixedStep(double mixedStepMillis) {
        boolean raised = separating && mixedStepMillis > RAISE_FACTOR * longStepMillis;
        boolean lowered = mixedStepMillis > 0 && mixedStepMillis < LOWER_FACTOR * longStepMillis;
        if (raised || lowered) {
            longStepMillis = Math.min(MAX_LONG_STEP_MILLIS, Math.max(LatencyClass.LONG_STEP_MILLIS, mixedStepMillis));
        }
    }

    /**
     * Classifies a stream and counts it.
     *
     * @param stream the stream
     * @param nowNanos current monotonic time in nanoseconds
     * @return its latency class
     */
    public LatencyClass classify(Stream stream, long nowNanos) {
        LatencyClass byTargets = LatencyClass.of(
                stream.gapTargetMillis(), stream.firstEventTargetMillis(), stream.tokensPerEvent(), longStepMillis);
        if (!separating || byTargets != LatencyClass.GAP_SENSITIVE) {
            return byTargets;
        }
        tokensPerEvent = stream.tokensPerEvent();
        count(stream.gapTargetMillis(), nowNanos);
        return isTooLongBesideOthers(stream)
                ? LatencyClass.of(0, stream.firstEventTargetMillis(), stream.tokensPerEvent(), longStepMillis)
                : byTargets;
    }

    /**
     * Cost of prompts beside gap-sensitive streams.
     *
     * @return the cost by the shortest gap target of recent streams; {@link GapCost#NONE} before the first stream
     */
    public GapCost gapCost() {
        OptionalLong shortest =
                byGapTarget.keySet().stream().mapToLong(Long::longValue).min();
        return shortest.isEmpty()
                ? GapCost.NONE
                : new GapCost(longStepMillis * Math.max(1, tokensPerEvent), shortest.getAsLong());
    }

    /**
     * Time of a step with a prompt up to which streams are gap-sensitive.
     *
     * @return milliseconds
     */
    public double longStepMillis() {
        return longStepMillis;
    }

    private boolean isTooLongBesideOthers(Stream stream) {
        for (Map.Entry<Long, Streams> other : byGapTarget.entrySet()) {
            if (other.getKey() < stream.gapTargetMillis()
                    && other.getValue().separates
                    && stream.prefillMillis() > MAX_PREFILL_FRACTION * other.getKey()) {
                return true;
            }
        }
        return false;
    }

    private void count(long gapTarget, long nowNanos) {
        Streams counted = byGapTarget.computeIfAbsent(gapTarget, target -> new Streams());
        counted.count = counted.at(nowNanos) + 1;
        counted.updatedNanos = nowNanos;
        byGapTarget.values().removeIf(each -> each.at(nowNanos) < MIN_COUNT);
        double total = 0;
        for (Streams each : byGapTarget.values()) {
            total += each.at(nowNanos);
        }
        for (Streams each : byGapTarget.values()) {
            each.separates = each.at(nowNanos) > (each.separates ? JOIN_SHARE : SEPARATE_SHARE) * total;
        }
        if (byGapTarget.size() > MAX_TARGETS) {
            byGapTarget.entrySet().stream()
                    .min(Comparator.comparingDouble(each -> each.getValue().at(nowNanos)))
                    .map(Map.Entry::getKey)
                    .ifPresent(byGapTarget::remove);
        }
    }
}
