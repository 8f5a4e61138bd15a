package org.dotterelcourse.policy.retry;

/** What a caller is told about a request that failed for good. */
public sealed interface FinalOutcome {
    /** The request was not run, and that is certain; the caller may send it again. */
    record NotRun() implements FinalOutcome {}

    /** Nobody here knows whether the request ran. */
    record Unknown() implements FinalOutcome {}

    /**
     * The answer ends here with a marked error.
     *
     * @param tokens tokens that the caller has
     */
    record CutShort(int tokens) implements FinalOutcome {}
}
