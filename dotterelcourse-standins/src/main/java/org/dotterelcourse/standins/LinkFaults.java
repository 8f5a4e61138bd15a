package org.dotterelcourse.standins;

import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.time.Duration;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.atomic.AtomicLong;

/** The faults of one link and its counts. Safe for use by several threads. */
final class LinkFaults {
    final AtomicLong passed = new AtomicLong();
    final AtomicLong swallowed = new AtomicLong();
    private final SplittableRandom random;
    private long delayNanos;
    private long jitterNanos;
    private boolean refuseNew;
    private ProxyLink.Direction silentNew;
    private double loss;
    private double duplication;
    private Set<String> held;

    private LinkFaults(SplittableRandom random) {
        this.random = random;
    }

    static LinkFaults none(SplittableRandom random) {
        return new LinkFaults(random);
    }

    synchronized void delay(Duration base, Duration jitter) {
        delayNanos = base.toNanos();
        jitterNanos = jitter.toNanos();
    }

    synchronized void refuseNew(boolean refuse) {
        refuseNew = refuse;
    }

    synchronized void silenceNew(ProxyLink.Direction direction) {
        silentNew = direction;
    }

    synchronized void loss(double lossRate, double duplicationRate) {
        loss = lossRate;
        duplication = duplicationRate;
    }

    synchronized void hold(Set<String> clients) {
        held = Set.copyOf(clients);
    }

    synchronized void resume() {
        held = null;
    }

    synchronized void recover() {
        delayNanos = 0;
        jitterNanos = 0;
        refuseNew = false;
        silentNew = null;
        loss = 0;
        duplication = 0;
        held = null;
    }

    synchronized long nextDelayNanos() {
        return delayNanos + (jitterNanos > 0 ? random.nextLong(jitterNanos) : 0);
    }

    synchronized boolean refusesNew() {
        return refuseNew;
    }

    synchronized ProxyLink.Direction silentNew() {
        return silentNew;
    }

    synchronized boolean loses() {
        return random.nextDouble() < loss;
    }

    synchronized boolean doubles() {
        return random.nextDouble() < duplication;
    }

    synchronized boolean holds(SocketAddress client) {
        if (held == null) {
            return false;
        }
        String host = ((InetSocketAddress) client).getAddress().getHostAddress();
        return held.isEmpty() || held.contains(host);
    }
}
