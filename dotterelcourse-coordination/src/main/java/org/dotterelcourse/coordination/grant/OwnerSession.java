package org.dotterelcourse.coordination.grant;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/** What the owner knows of one life of one asker. */
final class OwnerSession {
    private final String asker;
    private final long life;
    private final Map<Long, OwnerEntry> entries = new HashMap<>();
    private final Set<Integer> partsSeen = new HashSet<>();
    private long registration;
    private long stampNanos = Long.MIN_VALUE;
    private long stampArrivedNanos;

    OwnerSession(String asker, long life) {
        this.asker = asker;
        this.life = life;
    }

    String asker() {
        return asker;
    }

    long life() {
        return life;
    }

    Map<Long, OwnerEntry> entries() {
        return entries;
    }

    /** Keeps the newest stamp only: a message that was delayed must not make a lease look longer to the asker. */
    void heard(long stamp, long nowNanos) {
        if (stamp > stampNanos) {
            stampNanos = stamp;
            stampArrivedNanos = nowNanos;
        }
    }

    long stampNanos() {
        return stampNanos;
    }

    long sinceStampNanos(long nowNanos) {
        return nowNanos - stampArrivedNanos;
    }

    /** Notes one part of a registration; true when all of its parts have arrived. */
    boolean registered(GrantMessage.Reregister message) {
        if (message.registration() < registration) {
            return false;
        }
        if (message.registration() > registration) {
            registration = message.registration();
            partsSeen.clear();
        }
        partsSeen.add(message.part());
        return partsSeen.size() >= message.parts();
    }
}
