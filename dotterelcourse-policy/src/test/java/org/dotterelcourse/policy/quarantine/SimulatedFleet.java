package org.dotterelcourse.policy.quarantine;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

import org.dotterelcourse.policy.quarantine.CrashNotice.Ending;

/**
 * Simulates a fleet in virtual time. The processes send each other notices every 50 ms over a network that loses a
 * third of the messages, while a client sends the same request, which crashes its worker, to one random process after
 * another.
 */
final class SimulatedFleet {
    private static final long NANOS_PER_MILLI = 1_000_000L;
    private static final CrashCause REQUEST = CrashCause.ofContent(new Fingerprint(7));
    private static final int GOSSIP_PERIOD_MILLIS = 50;
    private static final int RUN_MILLIS = 20;
    private static final int NO_PROCESS = -1;

    /** Crashes after which all processes must quarantine the request, once its notices had time to reach them. */
    private static final int CRASHES_UNTIL_QUARANTINE = 3;

    /** Time for notices to reach all processes, counted from the last expected crash or the start of the process. */
    private static final long REPLICATION_NANOS = 3_000 * NANOS_PER_MILLI;

    private final List<RequestQuarantine> processes = new ArrayList<>();
    private final List<Long> startedNanos = new ArrayList<>();
    private final Random random;
    private long nowNanos = 10_000_000 * NANOS_PER_MILLI;
    private long lastExpectedCrashNanos;
    private int crashes;
    private int missedRejections;
    private int isolated = NO_PROCESS;

    SimulatedFleet(int count, Random random) {
        this.random = random;
        for (int i = 0; i < count; i++) {
            processes.add(new RequestQuarantine());
            startedNanos.add(nowNanos);
        }
    }

    /**
     * Sends the request to a random process, which forwards it to a worker unless the request is in quarantine there.
     */
    void send() {
        int process = random.nextInt(processes.size());
        RequestQuarantine quarantine = processes.get(process);
        if (quarantine.verdict(REQUEST, nowNanos) instanceof Verdict.Quarantined) {
            return;
        }
        crashes++;
        quarantine.applyNotice(
                new CrashNotice(REQUEST, Ending.CRASHED_BEFORE_OUTPUT, crashes, RUN_MILLIS, 0), nowNanos);
        if (crashes <= CRASHES_UNTIL_QUARANTINE) {
            lastExpectedCrashNanos = nowNanos;
        } else if (nowNanos - Math.max(lastExpectedCrashNanos, startedNanos.get(process)) > REPLICATION_NANOS) {
            missedRejections++;
        }
    }

    /** Advances the time and lets the processes exchange notices. */
    void exchange(int millis) {
        for (int elapsedMillis = 0; elapsedMillis < millis; elapsedMillis += GOSSIP_PERIOD_MILLIS) {
            nowNanos += GOSSIP_PERIOD_MILLIS * NANOS_PER_MILLI;
            for (int sender = 0; sender < processes.size(); sender++) {
                deliver(sender, processes.get(sender).takeNotices(nowNanos));
            }
        }
    }

    private void deliver(int sender, List<CrashNotice> notices) {
        for (int receiver = 0; receiver < processes.size(); receiver++) {
            boolean isReachable = receiver != sender && receiver != isolated && sender != isolated;
            if (isReachable && random.nextInt(3) > 0) {
                RequestQuarantine process = processes.get(receiver);
                notices.forEach(notice -> process.applyNotice(notice, nowNanos));
            }
        }
    }

    /** Replaces a process by one without records, and informs all processes that a peer has started. */
    void restart(int process) {
        processes.set(process, new RequestQuarantine());
        startedNanos.set(process, nowNanos);
        processes.forEach(RequestQuarantine::scheduleReminders);
    }

    void restartAll() {
        for (int i = 0; i < processes.size(); i++) {
            restart(i);
        }
    }

    /** Cuts the network connection between a process and its peers in both directions. */
    void isolate(int process) {
        isolated = process;
    }

    int crashes() {
        return crashes;
    }

    /** Returns how often a process forwarded the request although its peers' notices had time to reach it. */
    int missedRejections() {
        return missedRejections;
    }
}
