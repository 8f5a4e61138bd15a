package org.dotterelcourse.policy.quarantine;

/** Whether a request may be sent to a worker. */
public sealed interface Verdict {
    /** Nothing speaks against it. */
    record Allowed() implements Verdict {}

    /** A worker crashed under it, which may be chance: it may run, but not beside another suspect. */
    record Suspect() implements Verdict {}

    /**
     * It crashes workers and may not run.
     *
     * @param retryAfterMillis when it may be tried once more
     */
    record Quarantined(long retryAfterMillis) implements Verdict {}
}
