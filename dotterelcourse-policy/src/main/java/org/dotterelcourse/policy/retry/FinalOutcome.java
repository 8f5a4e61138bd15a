package org.dotterelcourse.policy.retry;

/** The outcome reported to the caller of a request that failed and is not retried. */
public sealed interface FinalOutcome {
    /** The request was certainly not executed; the caller may send it again. */
    record NotRun() implements FinalOutcome {}

    /** It is unknown whether the request was executed. */
    record Unknown() implements FinalOutcome {}

    /**
     * The answer is truncated and marked with an error.
     *
     * @param tokens number of tokens that the caller has received
     */
    record Truncated(int tokens) implements FinalOutcome {}
}
