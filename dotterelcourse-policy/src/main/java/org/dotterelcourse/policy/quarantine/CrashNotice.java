package org.dotterelcourse.policy.quarantine;

/**
 * Notice about the end of a run of a request that, or a part of whose prompt, may crash workers, exchanged between the processes of a fleet.
 * Carries ages instead of times, because the clocks of processes differ.
 *
 * @param cause the request, or the part of its prompt, that may have caused the crash
 * @param ending how the run ended
 * @param worker incarnation of the worker that crashed, 0 if none did
 * @param runMillis time in milliseconds for which the worker had the request
 * @param agoMillis time in milliseconds since the run ended
 */
public record CrashNotice(CrashCause cause, Ending ending, int worker, long runMillis, long agoMillis) {
    /** How a run ended. */
    public enum Ending {
        /** The run completed, so that this request did not cause any of the earlier crashes. */
        FINISHED,
        /** The worker crashed before it produced any output. */
        CRASHED_BEFORE_OUTPUT,
        /** The worker crashed while it produced output, which is weaker evidence against the request. */
        CRASHED_DURING_OUTPUT
    }
}
