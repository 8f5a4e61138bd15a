package org.dotterelcourse.coordination.grant;

/** A decision of an {@link Arbiter}. */
public sealed interface Decision {
    /**
     * The request may be sent to the worker.
     *
     * @param askId identifier of the ask
     * @param grant number of the grant, unique within the lifetime of the arbiter
     * @param worker name of the worker
     */
    record Granted(String askId, long grant, String worker) implements Decision {}

    /**
     * The request is rejected; this cell will not run it.
     *
     * @param askId identifier of the ask
     * @param reason code that the embedder interprets
     * @param retryAfterNanos time after which a retry is useful, in nanoseconds from now
     */
    record Refused(String askId, String reason, long retryAfterNanos) implements Decision {}

    /**
     * The running request must be stopped. The arbiter considers its grant ended.
     *
     * @param askId identifier of the ask
     * @param grant number of the revoked grant
     */
    record Preempted(String askId, long grant) implements Decision {}
}
