package org.dotterelcourse.standins;

/** What a caller knows about its request in the end. */
sealed interface CallOutcome {
    /**
     * The whole answer came and is right.
     *
     * @param firstNanos from the arrival to the first token, or to the whole answer of a call that is not streamed
     * @param wholeNanos from the arrival to the end
     * @param intervalNanos the 95th percentile between tokens, 0 if not streamed
     * @param tokens the tokens of the answer, 0 for a plain service
     */
    record Answered(long firstNanos, long wholeNanos, long intervalNanos, int tokens) implements CallOutcome {}

    /**
     * It was not run.
     *
     * @param reason the status or error
     */
    record NotRun(String reason) implements CallOutcome {}

    /**
     * Whether it was run is not known.
     *
     * @param reason the status or error
     * @param cut whether an answer had begun and its connection broke
     */
    record Unknown(String reason, boolean cut) implements CallOutcome {}

    /**
     * The answer is not the one to this request.
     *
     * @param reason what is wrong
     */
    record Wrong(String reason) implements CallOutcome {}

    /** The answer ended as if it were whole, and is not. */
    record Truncated() implements CallOutcome {}
}
