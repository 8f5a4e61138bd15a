package org.dotterelcourse.coordination.grant;

/** One ask that the owner holds, from its arrival until it is refused or its grant ends. */
final class OwnerEntry {
    /** Where an entry stands. */
    enum State {
        /** Arrived while the owner settles; the arbiter doesn't know it yet. */
        HELD,
        /** Waits at the arbiter. */
        WAITING,
        /** Has a worker. */
        GRANTED
    }

    private final String asker;
    private final long ask;
    private final String arbiterId;
    private final long arrivalNanos;
    private byte[] terms;
    private State state = State.HELD;
    private GrantId grant;
    private long arbiterGrant;
    private String worker;
    private long expiresNanos;

    OwnerEntry(String asker, long life, long ask, long arrivalNanos, byte[] terms) {
        this.asker = asker;
        this.ask = ask;
        this.arbiterId = asker + '/' + Long.toHexString(life) + '/' + ask;
        this.arrivalNanos = arrivalNanos;
        this.terms = terms;
    }

    String asker() {
        return asker;
    }

    long ask() {
        return ask;
    }

    String arbiterId() {
        return arbiterId;
    }

    long arrivalNanos() {
        return arrivalNanos;
    }

    State state() {
        return state;
    }

    GrantId grant() {
        return grant;
    }

    long arbiterGrant() {
        return arbiterGrant;
    }

    String worker() {
        return worker;
    }

    boolean expiredAt(long nowNanos) {
        return expiresNanos - nowNanos <= 0;
    }

    void renewUntil(long nanos) {
        expiresNanos = nanos;
    }

    /** Marks it as waiting and gives the terms away: from here on the arbiter keeps what it needs of them. */
    byte[] handOver() {
        byte[] handed = terms;
        terms = null;
        state = State.WAITING;
        return handed;
    }

    void granted(GrantId by, long arbiterNumber, String at) {
        terms = null;
        state = State.GRANTED;
        grant = by;
        arbiterGrant = arbiterNumber;
        worker = at;
    }
}
