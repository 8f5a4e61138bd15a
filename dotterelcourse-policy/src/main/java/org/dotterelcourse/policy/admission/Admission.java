package org.dotterelcourse.policy.admission;

import org.dotterelcourse.policy.cell.CellRequest;
import org.dotterelcourse.policy.cell.Completion;

/** Foretells how long requests wait, and refuses early what would come too late. */
public interface Admission {
    /**
     * Learns from a request that has left a worker.
     *
     * @param ask the request
     * @param work the work it was, in output tokens
     * @param completion what was seen
     * @param nowNanos the time
     */
    void observe(CellRequest ask, double work, Completion completion, long nowNanos);

    /**
     * Whether a request would come too late, and is useless late.
     *
     * @param ask the request
     * @param workAhead the work that is served before it, in output tokens
     * @param slots how many requests the cell's workers run at once
     * @param nowNanos the time
     * @return whether it is better refused now
     */
    boolean tooLate(CellRequest ask, double workAhead, int slots, long nowNanos);

    /**
     * How long the cell takes over some work.
     *
     * @param work in output tokens
     * @param slots how many requests the cell's workers run at once
     * @return nanoseconds; 0 while nothing is known
     */
    long drainNanos(double work, int slots);

    /**
     * When it is worth asking again.
     *
     * @param workAhead the work that is served before the request, in output tokens
     * @param slots how many requests the cell's workers run at once
     * @return nanoseconds from now
     */
    long retryAfterNanos(double workAhead, int slots);

    /**
     * When a request must be granted at the latest to meet its target.
     *
     * @param ask the request
     * @return nanoseconds; {@link Long#MAX_VALUE} for an answer that has begun, which nothing makes late
     */
    long startByNanos(CellRequest ask);
}
