package org.dotterelcourse.policy.quarantine;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

import org.dotterelcourse.policy.quarantine.CrashNotice.Ending;

/**
 * Processes in virtual time that tell each other each 50 ms, over a network that loses a third of the messages, while a
 * client sends one request that crashes its worker to one after the other.
 */
final class SimulatedFleet {
    private static final long MILLISECOND = 1_000_000L;
    private static final Fingerprint REQUEST = new Fingerprint(7);
    private static final int PERIOD_MILLIS = 50;
    private static final int RUN_MILLIS = 20;
    private static final int NOBODY = -1;

    /** Crashes after which all processes have to know the request, and how long they have for that after it or a start. */
    private static final int KNOWN_AFTER_CRASHES = 3;

    private static final long KNOWN_WITHIN_NANOS = 3_000 * MILLISECOND;

    private final List<RequestQuarantine> processes = new ArrayList<>();
    private final List<Long> startedNanos = new ArrayList<>();
    private final Random random;
    private long nowNanos = 10_000_000 * MILLISECOND;
    private long lastFreeCrashNanos;
    private int crashes;
    private int sendsWhenKnown;
    private int cutOff = NOBODY;

    SimulatedFleet(int count, Random random) {
        this.random = random;
        for (int i = 0; i < count; i++) {
            processes.add(new RequestQuarantine());
            startedNanos.add(nowNanos);
        }
    }

    /** Sends the request to some process, which passes it on to a worker unless it holds it. */
    void send() {
        int process = random.nextInt(processes.size());
        RequestQuarantine quarantine = processes.get(process);
        if (quarantine.verdict(REQUEST, nowNanos) instanceof Verdict.Quarantined) {
            return;
        }
        crashes++;
        quarantine.applyNotice(
                new CrashNotice(REQUEST, Ending.CRASHED_BEFORE_OUTPUT, crashes, RUN_MILLIS, 0), nowNanos);
        if (crashes <= KNOWN_AFTER_CRASHES) {
            lastFreeCrashNanos = nowNanos;
        } else if (nowNanos - Math.max(lastFreeCrashNanos, startedNanos.get(process)) > KNOWN_WITHIN_NANOS) {
            sendsWhenKnown++;
        }
    }

    /** Lets time pass. */
    void exchange(int millis) {
        for (int passed = 0; passed < millis; passed += PERIOD_MILLIS) {
            nowNanos += PERIOD_MILLIS * MILLISECOND;
            for (int sender = 0; sender < processes.size(); sender++) {
                tell(sender, processes.get(sender).takeNotices(nowNanos));
            }
        }
    }

    private void tell(int sender, List<CrashNotice> notices) {
        for (int receiver = 0; receiver < processes.size(); receiver++) {
            boolean reached = receiver != sender && receiver != cutOff && sender != cutOff;
            if (reached && random.nextInt(3) > 0) {
                RequestQuarantine process = processes.get(receiver);
                notices.forEach(notice -> process.applyNotice(notice, nowNanos));
            }
        }
    }

    /** A process loses what it knew, and its peers meet it anew. */
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

    /** A process hears nothing of its peers, nor they of it. */
    void cutOff(int process) {
        cutOff = process;
    }

    int crashes() {
        return crashes;
    }

    /** Sends of processes that had time to know the request. */
    int sendsWhenKnown() {
        return sendsWhenKnown;
    }
}
