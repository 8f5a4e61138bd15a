package org.dotterelcourse.daemon.dispatch;

/** Whether a request was executed, as reported to its caller. */
public sealed interface Outcome {
    /** The request was executed and answered completely. */
    record Answered() implements Outcome {}

    /** The request was certainly not executed by any worker. */
    record NotRun() implements Outcome {}

    /** The request may have been executed. */
    record Unknown() implements Outcome {}

    /**
     * Returns the text for this outcome in headers, problem details, metrics and logs.
     *
     * @return {@code answered}, {@code not-run} or {@code unknown}
     */
    default String label() {
        if (this instanceof Answered) {
            return "answered";
        }
        return this instanceof NotRun ? "not-run" : "unknown";
    }
}
