package org.dotterelcourse.coordination.limit;

/** One daemon's balance, pending slice request and local mode state for one customer. */
final class ClientAccount {
    private static final double MILLION = 1_000_000;
    private static final long NONE = Long.MIN_VALUE;
    private static final double HEADROOM_FACTOR = 1.25;

    private final String customer;
    private Budget budget;
    private Amount balance = Amount.ZERO;
    private Amount used = Amount.ZERO;
    private Amount unmetDemand = Amount.ZERO;
    private long usedSinceNanos;
    private long lastUsedNanos;
    private LimitMessage.Want pending;
    private long sentNanos;
    private long unansweredSinceNanos = NONE;
    private long backoffUntilNanos;
    private boolean waitingCalls;
    private double lastShare;
    private long localSinceNanos = NONE;
    private TokenBucket localRequests;
    private TokenBucket localTokens;
    private double previousLocalShare;

    ClientAccount(String customer, Budget budget, long nowNanos) {
        this.customer = customer;
        this.budget = budget;
        this.usedSinceNanos = nowNanos;
        this.lastUsedNanos = nowNanos;
        this.backoffUntilNanos = nowNanos;
    }

    String customer() {
        return customer;
    }

    void setBudget(Budget changed) {
        budget = changed;
    }

    Budget budget() {
        return budget;
    }

    Amount balance() {
        return balance;
    }

    long lastUsedNanos() {
        return lastUsedNanos;
    }

    /** True if there were no calls within the idle time, no request is pending and no balance is left to return. */
    boolean isInactive(long nowNanos, long idleNanos) {
        boolean idle = nowNanos - lastUsedNanos > idleNanos;
        return idle
                && pending == null
                && !waitingCalls
                && !isLocalMode()
                && balance.atLeastZero().isZero();
    }

    LimitMessage.Want pending() {
        return pending;
    }

    long sentNanos() {
        return sentNanos;
    }

    void markSent(long nowNanos) {
        sentNanos = nowNanos;
        if (unansweredSinceNanos == NONE) {
            unansweredSinceNanos = nowNanos;
        }
    }

    boolean isUnansweredFor(long nanos, long nowNanos) {
        return unansweredSinceNanos != NONE && nowNanos - unansweredSinceNanos >= nanos;
    }

    boolean isLocalMode() {
        return localSinceNanos != NONE;
    }

    void setWaitingCalls(boolean waiting) {
        waitingCalls = waiting;
    }

    boolean hasWaitingCalls() {
        return waitingCalls;
    }

    /** Records the cost of a call that waits for a slice requested before the call arrived. */
    void addUnmetDemand(Amount cost) {
        unmetDemand = unmetDemand.plus(cost);
    }

    /** Nanoseconds until a slice may be requested again after the owner's budget was exhausted; 0 if it may be now. */
    long remainingBackoffNanos(long nowNanos) {
        return Math.max(0, backoffUntilNanos - nowNanos);
    }

    /** Charges a call if the balance covers its cost. */
    boolean tryCharge(Amount cost, long nowNanos) {
        if (!balance.covers(cost)) {
            return false;
        }
        charge(cost, nowNanos);
        return true;
    }

    /**
     * Charges a call's estimated cost, or the difference to its actual cost, which may be negative. The balance may
     * become negative: such a debt is paid from the next slice.
     */
    void charge(Amount cost, long nowNanos) {
        balance = balance.minus(cost);
        used = used.plus(cost);
        lastUsedNanos = nowNanos;
    }

    /**
     * Returns the amount to request: the expected use within a slice's period with headroom, plus the cost of the next
     * call, less the balance or plus the debt. Restarts the measurement of the use.
     */
    Amount takeDemand(Amount next, long sliceNanos, long nowNanos) {
        double elapsed = Math.max(sliceNanos, nowNanos - usedSinceNanos);
        double factor = HEADROOM_FACTOR * sliceNanos / elapsed;
        Amount expected = new Amount((long) (used.requests() * factor), (long) (used.tokens() * factor));
        used = Amount.ZERO;
        usedSinceNanos = nowNanos;
        return expected.atLeastZero().plus(next).minus(balance).atLeastZero().atMost(budget.burst());
    }

    void markPending(LimitMessage.Want want) {
        pending = want;
        balance = balance.minus(want.returned());
    }

    /** Adds a slice to the balance. Returns false if it does not answer the pending request, as a duplicate does. */
    boolean applySlice(LimitMessage.Slice slice, long nowNanos) {
        if (pending == null || slice.sequence() != pending.sequence()) {
            return false;
        }
        pending = null;
        unansweredSinceNanos = NONE;
        balance = balance.plus(slice.amount());
        lastShare = slice.shareMillionths() / MILLION;
        backoffUntilNanos = nowNanos + slice.retryAfterNanos();
        return true;
    }

    /** Switches to local mode with the rest of the last slice as balance. */
    void enterLocalMode(long nowNanos) {
        localSinceNanos = nowNanos;
        previousLocalShare = lastShare;
        localRequests = new TokenBucket(budget.burst().requests(), 0, nowNanos);
        localTokens = new TokenBucket(budget.burst().tokens(), 0, nowNanos);
    }

    void leaveLocalMode() {
        localSinceNanos = NONE;
        localRequests = null;
        localTokens = null;
    }

    /**
     * Refills the local token buckets and moves their content to the balance. The share changes monotonically between
     * two calls, so the lower of its two values is used; with the higher one, the members together would exceed the
     * budget.
     */
    void refillLocal(int members, long halfLifeNanos, long nowNanos) {
        double current = localShare(members, halfLifeNanos, nowNanos);
        double lower = Math.min(previousLocalShare, current);
        previousLocalShare = current;
        localRequests.refill(lower * budget.perSecond().requests(), nowNanos);
        localTokens.refill(lower * budget.perSecond().tokens(), nowNanos);
        Amount capacity = budget.burst().minus(balance).atLeastZero();
        Amount moved = new Amount(localRequests.available(), localTokens.available()).atMost(capacity);
        localRequests.take(moved.requests());
        localTokens.take(moved.tokens());
        balance = balance.plus(moved);
    }

    /** Nanoseconds until the balance covers {@code cost} in local mode. */
    long nanosUntilLocal(Amount cost, int members, long halfLifeNanos, long nowNanos) {
        double share = Math.max(localShare(members, halfLifeNanos, nowNanos), 0.1 / members);
        Amount missing = cost.minus(balance).atLeastZero();
        return Math.max(
                localRequests.nanosUntil(
                        missing.requests(), share * budget.perSecond().requests()),
                localTokens.nanosUntil(
                        missing.tokens(), share * budget.perSecond().tokens()));
    }

    /**
     * The share of the budget in local mode, which decays from the last share received to an equal share. The last
     * shares of all members add up to at most 1, and so do equal shares. Members that enter local mode at the same time
     * therefore never exceed the budget together.
     */
    private double localShare(int members, long halfLifeNanos, long nowNanos) {
        double decay = Math.pow(0.5, (double) (nowNanos - localSinceNanos) / halfLifeNanos);
        return lastShare * decay + (1 - decay) / members;
    }
}
