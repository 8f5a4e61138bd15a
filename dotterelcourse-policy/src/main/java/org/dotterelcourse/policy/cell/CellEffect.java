package org.dotterelcourse.policy.cell;

/** What a {@link CellScheduler} has decided; the caller of the scheduler carries it out. */
public sealed interface CellEffect {
    /**
     * The request may be sent to the worker.
     *
     * @param requestId the request's id
     * @param grant the grant's number, unique in the life of the scheduler, rising
     * @param worker the worker's name
     */
    record Granted(String requestId, long grant, String worker) implements CellEffect {}

    /**
     * The request will not be run by this cell, and has not been.
     *
     * @param requestId the request's id
     * @param reason why
     * @param retryAfterNanos when it is worth asking again, from now
     */
    record Refused(String requestId, RefusalReason reason, long retryAfterNanos) implements CellEffect {}

    /**
     * The running request is to be stopped at its worker and asked for again with the tokens it has so far.
     *
     * @param requestId the request's id
     * @param grant the grant that ends
     */
    record Preempted(String requestId, long grant) implements CellEffect {}
}
