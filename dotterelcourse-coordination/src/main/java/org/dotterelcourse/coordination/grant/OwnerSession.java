package org.dotterelcourse.coordination.grant;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/** Owner's state of one incarnation of one client. */
final class OwnerSession {
    private final String client;
    private final long life;
    private final Map<Long, OwnerEntry> entries = new HashMap<>();
    private final Set<Integer> receivedParts = new HashSet<>();
    private long registration;
    private long stampNanos = Long.MIN_VALUE;
    private long stampArrivedNanos;

    OwnerSession(String client, long life) {
        this.client = client;
        this.life = life;
    }

    String client() {
        return client;
    }

    long life() {
        return life;
    }

    Map<Long, OwnerEntry> entries() {
        return entries;
    }

    /** Keeps only the latest stamp: a delayed message must not change the lease times that the client computes. */
    void recordStamp(long newStampNanos, long nowNanos) {
        if (newStampNanos > stampNanos) {
            stampNanos = newStampNanos;
            stampArrivedNanos = nowNanos;
        }
    }

    long stampNanos() {
        return stampNanos;
    }

    long sinceStampNanos(long nowNanos) {
        return nowNanos - stampArrivedNanos;
    }

    /** Records one part of a registration, and returns whether all parts have arrived. */
    boolean recordPart(GrantMessage.Reregister message) {
        if (message.registration() < registration) {
            return false;
        }
        if (message.registration() > registration) {
            registration = message.registration();
            receivedParts.clear();
        }
        receivedParts.add(message.part());
        return receivedParts.size() >= message.parts();
    }
}
