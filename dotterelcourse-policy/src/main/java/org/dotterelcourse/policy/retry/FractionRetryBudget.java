package org.dotterelcourse.policy.retry;

/**
 * A retry budget that earns a fraction of a retry with each success; one budget per upstream.
 *
 * <p>Answers retry storms at an upstream that fails under load. Without a budget, each failure is sent again, so the
 * offered load doubles when capacity is lowest, and the overload outlasts its cause. A budget earned from successes
 * runs out by itself when nothing succeeds. A fraction of a tenth keeps the additional load below the capacity that a
 * cell of ten workers loses with one of them. The reserve allows retries to an upstream that has little traffic or is
 * new.
 */
public final class FractionRetryBudget implements RetryBudget {
    /** Default number of retries earned by each success. */
    public static final double DEFAULT_FRACTION = 0.1;

    /**
     * Default reserve: the number of retries allowed before any success, and the maximum that can accumulate. An engine
     * runs 64 requests, 8 from each of eight daemons, so a reserve of 32 covers four engines whose connections are cut
     * one after the other. With a reserve of 10, a daemon that had just started reported an unknown outcome to 11 of
     * 180 callers.
     */
    public static final int DEFAULT_RESERVE = 32;

    private final double fraction;
    private final double reserve;
    private double balance;

    /**
     * Creates a budget with a full reserve.
     *
     * @param fraction number of retries earned by each success, 0 to 1
     * @param reserve initial and maximum number of available retries
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
