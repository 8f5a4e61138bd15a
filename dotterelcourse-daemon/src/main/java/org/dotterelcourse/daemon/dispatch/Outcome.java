package org.dotterelcourse.daemon.dispatch;

/** What a caller is told about whether its request ran. */
public sealed interface Outcome {
    /** The caller has the whole answer. */
    record Answered() implements Outcome {}

    /** It was not run, by anybody. Said only when that is certain. */
    record NotRun() implements Outcome {}

    /** It may have run. */
    record Unknown() implements Outcome {}

    /**
     * The word for it in headers, problem details, metrics and logs.
     *
     * @return {@code answered}, {@code not-run} or {@code unknown}
     */
    default String word() {
        if (this instanceof Answered) {
            return "answered";
        }
        return this instanceof NotRun ? "not-run" : "unknown";
    }
}
