package org.dotterelcourse.policy.quarantine;

/**
 * What processes tell each other of a request that was at a worker when it crashed. Times are ages, because the processes'
 * clocks differ.
 *
 * @param request which request
 * @param ending how its run ended
 * @param worker incarnation of the worker that crashed, 0 if none did
 * @param runMillis how long the worker had it
 * @param agoMillis how long ago the run ended
 */
public record CrashNotice(Fingerprint request, Ending ending, int worker, long runMillis, long agoMillis) {
    /** How a run ended. */
    public enum Ending {
        /** It came to its end: whatever crashed workers before, it was not this request. */
        FINISHED,
        /** The worker crashed before there was any output. */
        CRASHED_BEFORE_OUTPUT,
        /** The worker crashed while output was coming, which speaks for the request in part. */
        CRASHED_DURING_OUTPUT
    }
}
