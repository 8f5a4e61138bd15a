package org.dotterelcourse.policy.cell;

/** A decision of a {@link CellScheduler}, which the caller of the scheduler has to carry out. */
public sealed interface CellEffect {
    /**
     * The request is to be sent to the worker.
     *
     * @param requestId id of the request
     * @param grant number of the grant; increasing, and unique for one scheduler instance
     * @param worker name of the worker
     */
    record Granted(String requestId, long grant, String worker) implements CellEffect {}

    /**
     * The request is rejected. It has not been executed by this cell and will not be.
     *
     * @param requestId id of the request
     * @param reason why it is rejected
     * @param retryAfterNanos delay from now, in nanoseconds, after which the request may usefully be sent again
     */
    record Refused(String requestId, RefusalReason reason, long retryAfterNanos) implements CellEffect {}

    /**
     * The running request is to be cancelled at its worker and offered again, to be resumed after the tokens received
     * so far.
     *
     * @param requestId id of the request
     * @param grant number of the grant that ends
     */
    record Preempted(String requestId, long grant) implements CellEffect {}
}
