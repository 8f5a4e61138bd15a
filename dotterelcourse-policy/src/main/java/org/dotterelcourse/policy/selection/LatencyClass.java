package org.dotterelcourse.policy.selection;

/**
 * Classifies streams by the delays that their latency targets tolerate.
 *
 * <p>An engine reads prompts in chunks between the steps that make tokens. One chunk of a long prompt delays the other
 * streams by 50 ms or more, a whole long prompt by up to 1.6 s.
 */
public enum LatencyClass {
    /** The target for gaps between events is shorter than steps with a chunk of a long prompt. */
    GAP_SENSITIVE,
    /** The target for the first event is shorter than the time to read a long prompt. */
    START_SENSITIVE,
    /** Tolerates the delay of a long prompt, and often has one itself. */
    DELAY_TOLERANT;

    /**
     * Prior of the longest usual step with a chunk of a long prompt: 33 ms for 2,048 tokens at 62.4 tokens/ms, 30 ms for attention to a
     * context of 30,000 tokens, and 10 ms for the step itself (data sheet). With a lower value, streams whose gap target is
     * shorter than such a step would share engines with long prompts, and each of these steps would make them late.
     */
    static final double LONG_STEP_MILLIS = 73;

    /** The longest prompts, of about 50,000 tokens, take 0.85 s to read and 0.75 s for attention (data sheet). */
    private static final long LONG_PROMPT_MILLIS = 1_600;

    /**
     * Classifies the streams of a route by the prior of long steps, without regard to other streams. {@link GapClassifier}
     * takes both into account.
     *
     * @param gapTargetMillis longest gap between events in milliseconds for which an answer is on time; 0 for no target
     * @param firstEventTargetMillis latency target of the first event in milliseconds
     * @param tokensPerEvent tokens that an engine sends in one event; it makes one token per step
     * @return the latency class
     */
    public static LatencyClass of(long gapTargetMillis, long firstEventTargetMillis, int tokensPerEvent) {
        return of(gapTargetMillis, firstEventTargetMillis, tokensPerEvent, LONG_STEP_MILLIS);
    }

    /** Classifies streams by the time of a step with a chunk of a long prompt on the engines of their upstream. */
    static LatencyClass of(
            long gapTargetMillis, long firstEventTargetMillis, int tokensPerEvent, double longStepMillis) {
        if (gapTargetMillis > 0 && gapTargetMillis <= longStepMillis * tokensPerEvent) {
            return GAP_SENSITIVE;
        }
        return firstEventTargetMillis < LONG_PROMPT_MILLIS ? START_SENSITIVE : DELAY_TOLERANT;
    }
}
