package org.dotterelcourse.coordination.limit;

/** What one daemon has of one customer's budget. */
final class ClientAccount {
    private static final double MILLION = 1_000_000;
    private static final long NONE = Long.MIN_VALUE;
    private static final double HEADROOM = 1.25;

    private final String customer;
    private Budget budget;
    private Amount balance = Amount.NOTHING;
    private Amount used = Amount.NOTHING;
    private Amount unmet = Amount.NOTHING;
    private long usedSinceNanos;
    private long lastUsedNanos;
    private LimitMessage.Want pending;
    private long sentNanos;
    private long unansweredSinceNanos = NONE;
    private long emptyUntilNanos;
    private boolean waiting;
    private double share;
    private long aloneSinceNanos = NONE;
    private Bucket aloneRequests;
    private Bucket aloneTokens;
    private double lastPart;

    ClientAccount(String customer, Budget budget, long nowNanos) {
        this.customer = customer;
        this.budget = budget;
        this.usedSinceNanos = nowNanos;
        this.lastUsedNanos = nowNanos;
        this.emptyUntilNanos = nowNanos;
    }

    String customer() {
        return customer;
    }

    void budget(Budget changed) {
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

    /** Whether nothing is left to do for this customer: no calls lately, nothing asked for and nothing to give back. */
    boolean quiet(long nowNanos, long idleNanos) {
        boolean idle = nowNanos - lastUsedNanos > idleNanos;
        return idle
                && pending == null
                && !waiting
                && !alone()
                && balance.atLeastNothing().isNothing();
    }

    LimitMessage.Want pending() {
        return pending;
    }

    long sentNanos() {
        return sentNanos;
    }

    void sent(long nowNanos) {
        sentNanos = nowNanos;
        if (unansweredSinceNanos == NONE) {
            unansweredSinceNanos = nowNanos;
        }
    }

    boolean unansweredFor(long nanos, long nowNanos) {
        return unansweredSinceNanos != NONE && nowNanos - unansweredSinceNanos >= nanos;
    }

    boolean alone() {
        return aloneSinceNanos != NONE;
    }

    void waits(boolean someCallWaits) {
        waiting = someCallWaits;
    }

    boolean waits() {
        return waiting;
    }

    /** Notes a call that waits for an answer which was asked for before it came. */
    void unmet(Amount cost) {
        unmet = unmet.plus(cost);
    }

    /** How long the home has said that there is nothing; 0 if it may be asked. */
    long emptyFor(long nowNanos) {
        return Math.max(0, emptyUntilNanos - nowNanos);
    }

    /** Charges a call if the balance covers it. */
    boolean take(Amount cost, long nowNanos) {
        if (!balance.covers(cost)) {
            return false;
        }
        spend(cost, nowNanos);
        return true;
    }

    /** Charges what a call used beyond its estimate, or less. The balance may go below nothing: a debt. */
    void spend(Amount cost, long nowNanos) {
        balance = balance.minus(cost);
        used = used.plus(cost);
        lastUsedNanos = nowNanos;
    }

    /** How much to ask for: what a slice's time of use needs, the next call's cost, and what is owed. */
    Amount demand(Amount next, long sliceNanos, long nowNanos) {
        double elapsed = Math.max(sliceNanos, nowNanos - usedSinceNanos);
        double factor = HEADROOM * sliceNanos / elapsed;
        Amount expected = new Amount((long) (used.requests() * factor), (long) (used.tokens() * factor));
        used = Amount.NOTHING;
        usedSinceNanos = nowNanos;
        return expected.atLeastNothing()
                .plus(next)
                .minus(balance)
                .atLeastNothing()
                .atMost(budget.burst());
    }

    void asks(LimitMessage.Want want) {
        pending = want;
        balance = balance.minus(want.returned());
    }

    /** Takes a slice in, once; false if it doesn't answer what is pending. */
    boolean received(LimitMessage.Slice slice, long nowNanos) {
        if (pending == null || slice.sequence() != pending.sequence()) {
            return false;
        }
        pending = null;
        unansweredSinceNanos = NONE;
        balance = balance.plus(slice.amount());
        share = slice.shareMillionths() / MILLION;
        emptyUntilNanos = nowNanos + slice.retryAfterNanos();
        return true;
    }

    /** Starts to spend alone, from what is left of the last slice. */
    void goAlone(long nowNanos) {
        aloneSinceNanos = nowNanos;
        lastPart = share;
        aloneRequests = new Bucket(budget.burst().requests(), 0, nowNanos);
        aloneTokens = new Bucket(budget.burst().tokens(), 0, nowNanos);
    }

    void notAlone() {
        aloneSinceNanos = NONE;
        aloneRequests = null;
        aloneTokens = null;
    }

    /**
     * Moves what has come in while alone to the balance. The part of the budget rises or falls all the time between two
     * calls, so the lower of its ends is used; the higher one would let the members exceed the budget together.
     */
    void fillAlone(int members, long halfLifeNanos, long nowNanos) {
        double now = part(members, halfLifeNanos, nowNanos);
        double part = Math.min(lastPart, now);
        lastPart = now;
        aloneRequests.fill(part * budget.perSecond().requests(), nowNanos);
        aloneTokens.fill(part * budget.perSecond().tokens(), nowNanos);
        Amount room = budget.burst().minus(balance).atLeastNothing();
        Amount moved = new Amount(aloneRequests.units(), aloneTokens.units()).atMost(room);
        aloneRequests.take(moved.requests());
        aloneTokens.take(moved.tokens());
        balance = balance.plus(moved);
    }

    long nanosUntilAlone(Amount cost, int members, long halfLifeNanos, long nowNanos) {
        double part = Math.max(part(members, halfLifeNanos, nowNanos), 0.1 / members);
        Amount missing = cost.minus(balance).atLeastNothing();
        return Math.max(
                aloneRequests.nanosUntil(
                        missing.requests(), part * budget.perSecond().requests()),
                aloneTokens.nanosUntil(
                        missing.tokens(), part * budget.perSecond().tokens()));
    }

    /**
     * The part of the budget when alone: at first the last share, in the end an equal one. All shares add up to one at
     * most, and so do all equal parts; hence all parts do at any time if all members went alone together.
     */
    private double part(int members, long halfLifeNanos, long nowNanos) {
        double kept = Math.pow(0.5, (double) (nowNanos - aloneSinceNanos) / halfLifeNanos);
        return share * kept + (1 - kept) / members;
    }
}
