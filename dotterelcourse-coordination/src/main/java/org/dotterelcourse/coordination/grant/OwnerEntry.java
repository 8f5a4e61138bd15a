package org.dotterelcourse.coordination.grant;

/** Owner's state of one ask, from its arrival until it is withdrawn or rejected, or its grant ends. */
final class OwnerEntry {
    /** Phase of an entry. */
    enum State {
        /** Arrived while the owner settles; not offered to the arbiter yet. */
        BUFFERED,
        /** Waits in the arbiter's queue. */
        WAITING,
        /** Has a grant. */
        GRANTED
    }

    private final String client;
    private final long ask;
    private final String askId;
    private final long arrivalNanos;
    private byte[] terms;
    private State state = State.BUFFERED;
    private GrantId grant;
    private long arbiterGrant;
    private String worker;
    private long expiresNanos;

    OwnerEntry(String client, long life, long ask, long arrivalNanos, byte[] terms) {
        this.client = client;
        this.ask = ask;
        this.askId = client + '/' + Long.toHexString(life) + '/' + ask;
        this.arrivalNanos = arrivalNanos;
        this.terms = terms;
    }

    String client() {
        return client;
    }

    long ask() {
        return ask;
    }

    String askId() {
        return askId;
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

    boolean isExpired(long nowNanos) {
        return expiresNanos - nowNanos <= 0;
    }

    void extendLease(long endNanos) {
        expiresNanos = endNanos;
    }

    /** Marks the entry as waiting and removes the terms from it; the arbiter keeps the parts of them that it needs. */
    byte[] takeTerms() {
        byte[] taken = terms;
        terms = null;
        state = State.WAITING;
        return taken;
    }

    void markGranted(GrantId newGrant, long newArbiterGrant, String assignedWorker) {
        terms = null;
        state = State.GRANTED;
        grant = newGrant;
        arbiterGrant = newArbiterGrant;
        worker = assignedWorker;
    }
}
