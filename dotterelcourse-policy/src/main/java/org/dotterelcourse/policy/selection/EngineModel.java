package org.dotterelcourse.policy.selection;

/**
 * Learns from the traffic of this process how long the engines of one upstream take for
 * {@link LatencyClass#DELAY_TOLERANT} streams, and derives from that how many of these streams an engine can run at once.
 *
 * <p>It handles engines and prompts that are not described in the configuration: the limit follows from the length of a
 * step, the prefill time of the prompts and the length of the answers. Means are exponentially weighted (EWMA); the step
 * time is a running quantile estimate.
 */
public final class EngineModel {
    /**
     * Lowest weight of the newest observation in a mean. The mean then covers about the last 50 observations, a few seconds
     * of usual load.
     */
    private static final double MIN_WEIGHT = 0.02;

    /**
     * Step time assumed before the first event. A few dozen events outweigh it, and a single stream has that many.
     */
    private static final double INITIAL_STEP_MILLIS = 8;

    /**
     * Quantile of the observed step times that is estimated. Steps that include a chunk of a prompt take several times as
     * long as others and must not count. Wherever streams make progress at all, more than a fifth of the steps include
     * none.
     */
    private static final double STEP_QUANTILE = 0.2;

    /** Relative change of the estimate by one observed step. */
    private static final double STEP_ADJUSTMENT = 0.05;

    private double stepMillis = INITIAL_STEP_MILLIS;
    private double prefillMillis;
    private double answerTokens;
    private double firstEventMillis;
    private double firstEventDeviationMillis;
    private long firstEvents;
    private long completions;
    private long dispatches;

    /**
     * Records that a delay-tolerant stream was sent to an engine.
     *
     * @param promptPrefillMillis estimated time in milliseconds to read the part of its prompt that is not cached there
     * @param maxOutputTokens maximum length of its answer in tokens; used as the answer length until the first completion
     */
    public void recordDispatch(double promptPrefillMillis, int maxOutputTokens) {
        dispatches++;
        prefillMillis += weight(dispatches) * (promptPrefillMillis - prefillMillis);
        if (completions == 0) {
            answerTokens = maxOutputTokens;
        }
    }

    /**
     * Records the first event of a delay-tolerant stream.
     *
     * @param elapsedMillis time since the stream was sent to the engine, in milliseconds
     */
    public void recordFirstEvent(double elapsedMillis) {
        firstEvents++;
        firstEventDeviationMillis +=
                weight(firstEvents) * (Math.abs(elapsedMillis - firstEventMillis) - firstEventDeviationMillis);
        firstEventMillis += weight(firstEvents) * (elapsedMillis - firstEventMillis);
    }

    /**
     * Time by which a delay-tolerant stream should be sent to an engine before its deadline for the first event: the mean
     * time to the first event plus one mean deviation, as in the estimators of retransmission timers.
     *
     * @return milliseconds, 0 before the first observation
     */
    public double leadTimeMillis() {
        return firstEventMillis + firstEventDeviationMillis;
    }

    /**
     * Records the successful end of a delay-tolerant stream.
     *
     * @param tokens number of tokens of its answer
     */
    public void recordCompletion(int tokens) {
        completions++;
        answerTokens += weight(completions) * (tokens - answerTokens);
    }

    /**
     * Records the time between two consecutive events of a stream of any latency class.
     *
     * @param gapMillis time since the previous event in milliseconds; 0 for the first event, which is ignored
     * @param tokensPerEvent tokens that an engine sends in one event; it makes one token per step
     */
    public void recordEventGap(double gapMillis, int tokensPerEvent) {
        if (gapMillis <= 0) {
            return;
        }
        double step = gapMillis / Math.max(1, tokensPerEvent);
        stepMillis *=
                step < stepMillis ? 1 - STEP_ADJUSTMENT * (1 - STEP_QUANTILE) : 1 + STEP_ADJUSTMENT * STEP_QUANTILE;
    }

    /**
     * Estimated time of a step in which the engine reads no prompt.
     *
     * @return milliseconds
     */
    public double stepMillis() {
        return stepMillis;
    }

    /**
     * Mean time that an engine takes to read the prompt of a delay-tolerant stream.
     *
     * @return milliseconds, 0 before the first observation
     */
    public double prefillMillis() {
        return prefillMillis;
    }

    /**
     * Number of delay-tolerant streams that an engine may run at once so that an average one ends within a given time.
     *
     * <p>An engine reads pending prompts before it continues answers, and a step with a chunk of a prompt takes many times
     * as long as one without. If prompts are always pending, answers advance by one token per chunk: they end late or
     * never, and the work spent on their prompts is lost. The limit uses the mean value formula of a closed queue with one
     * server (reading) and one delay (the answer, stretched by the share of time in which the engine reads): n streams stay
     * for a time T with {@code T^2 - T (w + n w + s) + n w^2 = 0}, where w is the time to read one prompt and s the time of
     * its answer on an otherwise idle engine. The result is this equation solved for n.
     *
     * @param withinMillis time in milliseconds within which an average stream is to end
     * @return number of streams, at least 1
     */
    public int maxStreamsWithin(double withinMillis) {
        double prefill = Math.max(1, prefillMillis);
        double answer = answerTokens * stepMillis;
        double spare = withinMillis - prefill - answer;
        if (spare <= 0) {
            return 1;
        }
        return (int) Math.max(1, withinMillis * spare / (prefill * (withinMillis - prefill)));
    }

    private static double weight(long count) {
        return Math.max(MIN_WEIGHT, 1.0 / count);
    }
}
