package org.dotterelcourse.policy.quarantine;

/** Decision whether a request may be sent to a worker. */
public sealed interface Verdict {
    /** No unexplained crash is recorded for the request: it may run. */
    record Allowed() implements Verdict {}

    /**
     * A worker crashed while it ran the request, possibly by coincidence: the request may run, but not on the same
     * worker as another suspect.
     */
    record Suspect() implements Verdict {}

    /**
     * Workers have crashed under a part of the prompt, but too few for certainty, or only workers of other software
     * versions: one request at a time may run in the whole fleet.
     *
     * @param isRare whether the part may well crash workers, so that trials should be rare
     */
    record Trial(boolean isRare) implements Verdict {}

    /**
     * The request has repeatedly crashed workers: it must not run.
     *
     * @param retryAfterMillis time in milliseconds after which the request may be tried once more
     */
    record Quarantined(long retryAfterMillis) implements Verdict {}
}
