package org.dotterelcourse.coordination.grant;

/** What an {@link Arbiter} has decided. */
public sealed interface Decision {
    /**
     * The request may be sent to the worker.
     *
     * @param askId the ask's id
     * @param grant the grant's number, unique in the life of the arbiter
     * @param worker the worker's name
     */
    record Granted(String askId, long grant, String worker) implements Decision {}

    /**
     * The request won't be run by this cell.
     *
     * @param askId the ask's id
     * @param reason a code that the embedder understands
     * @param retryAfterNanos when it is worth asking again, from now
     */
    record Refused(String askId, String reason, long retryAfterNanos) implements Decision {}

    /**
     * The running request is to be stopped. The arbiter counts its grant as ended.
     *
     * @param askId the ask's id
     * @param grant the grant that ends
     */
    record Preempted(String askId, long grant) implements Decision {}
}
