package org.dotterelcourse.policy.selection;

/**
 * What a stream must not be held up by, by its latency targets.
 *
 * <p>An engine reads prompts in chunks between the steps that make tokens. A chunk of a long prompt takes some 50 ms and
 * more; a whole one up to 1.6 s.
 */
public enum LatencyClass {
    /** Its pauses must be shorter than steps with a chunk of a long prompt are. */
    GAP_SENSITIVE,
    /** Its first event must come sooner than a long prompt is read. */
    START_SENSITIVE,
    /** It can wait for a long prompt, and often is one. */
    DELAY_TOLERANT;

    /**
     * The longest usual step with a chunk of a long prompt: 33 ms for 2,048 tokens at 62.4 tokens/ms, 30 ms for attention to
     * a context of 30,000 tokens, and 10 ms of its own (data sheet). Were it taken for shorter, streams whose pauses end
     * below it would share engines with long prompts and be late whenever one of their own steps is the longest.
     */
    private static final double LONG_STEP_MILLIS = 73;

    /** The longest prompts, of some 50,000 tokens, take 0.85 s to read and 0.75 s for attention (data sheet). */
    private static final long LONG_PROMPT_MILLIS = 1_600;

    /**
     * The pace of a route's streams.
     *
     * @param gapTargetMillis the longest pause between events for which an answer is on time, 0 if there is none
     * @param firstEventMillis the latency target of the first event
     * @param tokensPerEvent how many tokens, one a step, an engine puts into one event
     * @return the pace
     */
    public static LatencyClass of(long gapTargetMillis, long firstEventMillis, int tokensPerEvent) {
        if (gapTargetMillis > 0 && gapTargetMillis <= LONG_STEP_MILLIS * tokensPerEvent) {
            return GAP_SENSITIVE;
        }
        return firstEventMillis < LONG_PROMPT_MILLIS ? START_SENSITIVE : DELAY_TOLERANT;
    }
}
