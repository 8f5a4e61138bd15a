package org.dotterelcourse.policy.retry;

/**
 * Allows retries as a fraction of successes, one budget per upstream.
 *
 * <p>Answers the load pattern of an upstream that fails under load. Without a budget each failure is offered again, the
 * offered load doubles at the moment when capacity is least, and the storm outlives its cause. A budget from successes
 * dries up by itself when nothing succeeds. A tenth keeps the extra load below what a cell of ten workers loses with one
 * of them; the reserve lets a quiet upstream, or one that has just been met, retry at all.
 */
public final class FractionRetryBudget implements RetryBudget {
    /** The usual fraction of successes. */
    public static final double DEFAULT_FRACTION = 0.1;

    /**
     * The usual reserve: retries that may be made before any success, and the most that can be saved up. An engine runs 64
     * requests, of which each of eight daemons has 8; it covers four engines whose connections are cut one after the
     * other. With 10, a daemon that had just started told 11 callers of 180 that their outcome was unknown.
     */
    public static final int DEFAULT_RESERVE = 32;

    private final double fraction;
    private final double reserve;
    private double balance;

    /**
     * Makes a budget with a full reserve.
     *
     * @param fraction retries earned by each success, 0 to 1
     * @param reserve the most retries that can be saved up
     */
    public FractionRetryBudget(double fraction, int reserve) {
        this.fraction = fraction;
        this.reserve = reserve;
        this.balance = reserve;
    }

    @Override
    public void recordSuccess() {
        balance = Math.min(reserve, balance + fraction);
    }

    @Override
    public boolean tryAcquire() {
        if (balance < 1) {
            return false;
        }
        balance--;
        return true;
    }
}
