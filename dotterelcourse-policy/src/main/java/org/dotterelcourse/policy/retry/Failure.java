package org.dotterelcourse.policy.retry;

/** What a failed attempt means for the promise that nothing runs twice which must not. */
public sealed interface Failure {
    /** The request was not run, and that is certain. */
    record NotRun() implements Failure {}

    /** The request may have run, or may be running still; nothing of an answer has been seen. */
    record MayHaveRun() implements Failure {}

    /**
     * A part of the answer has been seen.
     *
     * @param tokens tokens of the answer so far
     */
    record AnsweredInPart(int tokens) implements Failure {}
}
