package org.dotterelcourse.policy.repeat;

/**
 * Whether one worker should be left out for a while, judged by how requests sent there ended.
 *
 * <p>It answers a worker that is gone or fails part of its requests while its health check is good. Without it, each
 * process goes on sending it a share of all requests until the platform takes it off the list, or for ever. A worker is
 * left out after some failures in a row, longer each time, and one success ends it. That others are there to take the
 * load is for the selectors to see: they fall back to suspected workers when there are no others.
 */
public final class LocalSuspicion {
    private static final long MILLISECOND = 1_000_000L;

    /** A single refused connection or reset may be chance; two in a row from one worker are rarely. */
    private static final int FAILURES_IN_ROW = 2;

    private static final long FIRST_PAUSE_NANOS = 500 * MILLISECOND;
    private static final long LONGEST_PAUSE_NANOS = 4_000 * MILLISECOND;

    /**
     * Part of its requests that a worker must fail lately to be left out though some succeed. Services in use answer up to
     * 14 in 100 requests with a failure of their own while nothing is wrong; three standard deviations of the average
     * above that are 0.38.
     */
    private static final double FAILING_SHARE = 0.4;

    /** Weight of the newest outcome in the average; the last twenty or so decide. */
    private static final double NEWEST = 0.1;

    private int failuresInRow;
    private double failingShare;
    private long suspectedUntilNanos;
    private long pauseNanos = FIRST_PAUSE_NANOS;
    private boolean suspected;

    /**
     * A request has ended well there.
     *
     * @param nowNanos the time
     */
    public void recordSuccess(long nowNanos) {
        failuresInRow = 0;
        failingShare *= 1 - NEWEST;
        if (failingShare < FAILING_SHARE / 2) {
            pauseNanos = FIRST_PAUSE_NANOS;
            suspected = false;
        }
    }

    /**
     * A request has broken there: its connection was reset, its answer was cut, or it was refused.
     *
     * @param nowNanos the time
     */
    public void recordFailure(long nowNanos) {
        failuresInRow++;
        recordErrorResponse(nowNanos);
        if (failuresInRow >= FAILURES_IN_ROW) {
            suspect(nowNanos);
        }
    }

    /**
     * The worker has answered whole, with a failure of its own. Some of those are usual, also two in a row.
     *
     * @param nowNanos the time
     */
    public void recordErrorResponse(long nowNanos) {
        failingShare = failingShare * (1 - NEWEST) + NEWEST;
        if (failingShare > FAILING_SHARE) {
            suspect(nowNanos);
        }
    }

    /**
     * No connection to the worker could be made: nothing listens there, or nobody answers. Once is enough, since every
     * further request would find the same.
     *
     * @param nowNanos the time
     */
    public void recordConnectFailure(long nowNanos) {
        failuresInRow++;
        suspect(nowNanos);
    }

    private void suspect(long nowNanos) {
        if (!isSuspected(nowNanos)) {
            suspectedUntilNanos = nowNanos + pauseNanos;
            pauseNanos = Math.min(LONGEST_PAUSE_NANOS, 2 * pauseNanos);
        }
        suspected = true;
    }

    /**
     * Whether it should be left out.
     *
     * @param nowNanos the time
     * @return true while its pause lasts
     */
    public boolean isSuspected(long nowNanos) {
        return suspected && nowNanos - suspectedUntilNanos < 0;
    }
}
