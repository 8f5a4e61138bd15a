package org.dotterelcourse.policy.retry;

/** The effect of a failed attempt, which decides whether the request may be executed again. */
public sealed interface Failure {
    /** The request was certainly not executed. */
    record NotRun() implements Failure {}

    /** The request may have been executed, or may still be executing; no part of an answer has been received. */
    record MayHaveRun() implements Failure {}

    /**
     * A part of the answer has been received.
     *
     * @param tokens number of tokens of the answer received so far
     */
    record PartiallyAnswered(int tokens) implements Failure {}
}
