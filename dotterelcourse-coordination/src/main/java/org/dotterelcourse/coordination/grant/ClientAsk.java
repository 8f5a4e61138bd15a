package org.dotterelcourse.coordination.grant;

import java.util.HashSet;
import java.util.Set;

/** State of one ask of a {@link CellClient}, until it is rejected, withdrawn, past its deadline or released. */
final class ClientAsk {
    /** Phase of an ask. */
    enum State {
        /** Waits, not acknowledged by the owner. */
        UNACKNOWLEDGED,
        /** Waits in the owner's queue. */
        QUEUED,
        /** Waits in the local arbiter's queue. */
        LOCAL,
        /** Has a grant. */
        GRANTED,
        /** The arbiter revoked its grant; the embedder has not released it yet. */
        PREEMPTED
    }

    /** Lease end of local grants, which do not expire. */
    static final long NO_LEASE = Long.MAX_VALUE;

    private static final int MAX_DOUBLINGS = 3;
    private static final long NOT_ADOPTED = -1;

    private final long number;
    private final long arrivalNanos;
    private final long deadlineNanos;
    private final byte[] terms;
    private State state = State.UNACKNOWLEDGED;
    private long lastSentNanos;
    private int sendAttempts;
    private GrantId grant;
    private String worker;
    private long leaseEndsNanos;
    private int units;
    private boolean used;
    private Set<GrantId> returnedGrants = Set.of();
    private long localGrant = NOT_ADOPTED;

    ClientAsk(long number, long arrivalNanos, long deadlineNanos, byte[] terms) {
        this.number = number;
        this.arrivalNanos = arrivalNanos;
        this.deadlineNanos = deadlineNanos;
        this.terms = terms;
    }

    long number() {
        return number;
    }

    long arrivalNanos() {
        return arrivalNanos;
    }

    byte[] terms() {
        return terms;
    }

    State state() {
        return state;
    }

    void transitionTo(State newState) {
        state = newState;
    }

    boolean isWaiting() {
        return state == State.UNACKNOWLEDGED || state == State.QUEUED || state == State.LOCAL;
    }

    boolean isPastDeadline(long nowNanos) {
        return deadlineNanos - nowNanos <= 0;
    }

    long lastSentNanos() {
        return lastSentNanos;
    }

    void recordSend(long nowNanos) {
        lastSentNanos = nowNanos;
        sendAttempts++;
    }

    /** Records that the owner acknowledged the ask. */
    void markQueued() {
        state = State.QUEUED;
        sendAttempts = 0;
    }

    /**
     * Exponential backoff: the timeout doubles with each retry, up to eight times the initial one. Without it, an overloaded owner would get each ask many
     * times, which increases its load further.
     */
    long retryTimeoutNanos(long initialNanos) {
        return initialNanos << Math.min(MAX_DOUBLINGS, Math.max(0, sendAttempts - 1));
    }

    void markGranted(GrantId newGrant, String assignedWorker, long endNanos) {
        state = State.GRANTED;
        grant = newGrant;
        worker = assignedWorker;
        leaseEndsNanos = endNanos;
    }

    GrantId grant() {
        return grant;
    }

    String worker() {
        return worker;
    }

    boolean isLeaseExpired(long nowNanos) {
        return leaseEndsNanos != NO_LEASE && leaseEndsNanos - nowNanos <= 0;
    }

    void extendLease(long endNanos) {
        if (leaseEndsNanos != NO_LEASE && endNanos - leaseEndsNanos > 0) {
            leaseEndsNanos = endNanos;
        }
    }

    int units() {
        return units;
    }

    void recordProgress(int unitsDone) {
        units = unitsDone;
    }

    boolean isUsed() {
        return used;
    }

    void markUsed() {
        used = true;
    }

    /**
     * Records a grant that was returned while the ask still waits. A duplicate of it may arrive after the owner has
     * granted the slot to another request; accepting the duplicate would exceed the worker's capacity.
     */
    void recordReturned(GrantId returnedGrant) {
        Set<GrantId> extended = new HashSet<>(returnedGrants);
        extended.add(returnedGrant);
        returnedGrants = extended;
    }

    boolean wasReturned(GrantId offered) {
        return returnedGrants.contains(offered);
    }

    /** Whether the local arbiter counts the grant of this ask. */
    boolean isAdopted() {
        return localGrant != NOT_ADOPTED;
    }

    long localGrant() {
        return localGrant;
    }

    void markAdopted(long arbiterGrant) {
        localGrant = arbiterGrant;
    }

    void clearAdopted() {
        localGrant = NOT_ADOPTED;
    }
}
