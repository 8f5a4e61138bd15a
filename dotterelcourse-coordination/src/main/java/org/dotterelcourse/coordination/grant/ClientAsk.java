package org.dotterelcourse.coordination.grant;

import java.util.HashSet;
import java.util.Set;

/** One ask of a {@link CellClient}, from its start until it is refused, withdrawn or released. */
final class ClientAsk {
    /** Where an ask stands. */
    enum State {
        /** Not known to have arrived at the owner. */
        UNANSWERED,
        /** Waits at the owner. */
        QUEUED,
        /** Waits at the local arbiter. */
        LOCAL,
        /** Has a worker. */
        GRANTED,
        /** Its grant was ended by the arbiter; the embedder hasn't released it yet. */
        PREEMPTED
    }

    static final long NO_LEASE = Long.MAX_VALUE;
    private static final int MAX_DOUBLINGS = 3;
    private static final long NOT_ADOPTED = -1;

    private final long number;
    private final long arrivalNanos;
    private final long deadlineNanos;
    private final byte[] terms;
    private State state = State.UNANSWERED;
    private long lastSentNanos;
    private int unansweredTimes;
    private GrantId grant;
    private String worker;
    private long leaseEndsNanos;
    private int units;
    private boolean used;
    private Set<GrantId> returned = Set.of();
    private long localNumber = NOT_ADOPTED;

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

    void becomes(State next) {
        state = next;
    }

    boolean waits() {
        return state == State.UNANSWERED || state == State.QUEUED || state == State.LOCAL;
    }

    boolean deadlinePassed(long nowNanos) {
        return deadlineNanos - nowNanos <= 0;
    }

    long lastSentNanos() {
        return lastSentNanos;
    }

    void sentAt(long nowNanos) {
        lastSentNanos = nowNanos;
        unansweredTimes++;
    }

    /** The owner has the ask. */
    void queued() {
        state = State.QUEUED;
        unansweredTimes = 0;
    }

    /**
     * How long to wait for an answer: doubled with each repetition. An owner that is slow because it has too much to do
     * would otherwise get each ask many times over, which makes it slower still.
     */
    long timeoutNanos(long firstNanos) {
        return firstNanos << Math.min(MAX_DOUBLINGS, Math.max(0, unansweredTimes - 1));
    }

    void granted(GrantId by, String at, long endsNanos) {
        state = State.GRANTED;
        grant = by;
        worker = at;
        leaseEndsNanos = endsNanos;
    }

    GrantId grant() {
        return grant;
    }

    String worker() {
        return worker;
    }

    boolean leaseEnded(long nowNanos) {
        return leaseEndsNanos != NO_LEASE && leaseEndsNanos - nowNanos <= 0;
    }

    void leaseUntil(long nanos) {
        if (leaseEndsNanos != NO_LEASE && nanos - leaseEndsNanos > 0) {
            leaseEndsNanos = nanos;
        }
    }

    int units() {
        return units;
    }

    void progress(int done) {
        units = done;
    }

    boolean used() {
        return used;
    }

    void use() {
        used = true;
    }

    /**
     * Notes a grant that goes back although the ask still waits. A second copy of it may arrive later, when the owner has
     * given its place to another request already; taking that copy would put the worker above its capacity.
     */
    void returned(GrantId refused) {
        Set<GrantId> more = new HashSet<>(returned);
        more.add(refused);
        returned = more;
    }

    boolean wasReturned(GrantId offered) {
        return returned.contains(offered);
    }

    /** Whether the local arbiter counts this grant. */
    boolean adopted() {
        return localNumber != NOT_ADOPTED;
    }

    long localNumber() {
        return localNumber;
    }

    void adoptedAs(long arbiterNumber) {
        localNumber = arbiterNumber;
    }

    void disowned() {
        localNumber = NOT_ADOPTED;
    }
}
