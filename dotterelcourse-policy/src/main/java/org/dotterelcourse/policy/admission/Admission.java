package org.dotterelcourse.policy.admission;

import org.dotterelcourse.policy.cell.CellRequest;
import org.dotterelcourse.policy.cell.Completion;

/**
 * Admission control of a cell: estimates queueing delays, and decides which requests to reject early because they would
 * miss their target. Not safe for use by several threads at once.
 */
public interface Admission {
    /**
     * Updates the estimates with a request that has left its worker.
     *
     * @param request the request
     * @param work its actual cost, in output tokens
     * @param completion the measured times and token count of the request
     * @param nowNanos current monotonic time in nanoseconds
     */
    void observe(CellRequest request, double work, Completion completion, long nowNanos);

    /**
     * Whether a request would miss its target and belongs to a class whose late answers are useless.
     *
     * @param request the request
     * @param workAhead estimated cost of the requests that are served before it, in output tokens
     * @param slots number of requests that the workers of the cell can run concurrently
     * @param nowNanos current monotonic time in nanoseconds
     * @return whether the request should be rejected now
     */
    boolean isTooLate(CellRequest request, double workAhead, int slots, long nowNanos);

    /**
     * Estimates how long the cell needs to complete the given work.
     *
     * @param work the work, in output tokens
     * @param slots number of requests that the workers of the cell can run concurrently
     * @return nanoseconds; 0 as long as too few requests have been measured for an estimate
     */
    long drainNanos(double work, int slots);

    /**
     * The delay after which a rejected request may usefully be sent again.
     *
     * @param workAhead estimated cost of the requests that would be served before it, in output tokens
     * @param slots number of requests that the workers of the cell can run concurrently
     * @return nanoseconds from now, always positive
     */
    long retryAfterNanos(double workAhead, int slots);

    /**
     * The latest time at which a request can be granted and still meet its target.
     *
     * @param request the request
     * @return monotonic time in nanoseconds; {@link Long#MAX_VALUE} for a resumed request, which cannot be late because
     *     its caller has received a part of the answer
     */
    long latestStartNanos(CellRequest request);
}
