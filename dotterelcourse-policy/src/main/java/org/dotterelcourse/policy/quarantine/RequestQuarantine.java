package org.dotterelcourse.policy.quarantine;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.dotterelcourse.policy.quarantine.CrashNotice.Ending;

/**
 * Rejects requests that crash the workers which run them. The crashes that one process sees are replicated to the
 * others by gossip, and each process derives its verdicts from all known crashes.
 *
 * <p>Answers a request whose content crashes any worker that starts to run it, while its client keeps retrying. Each
 * retry has a new id and may reach another process, so that a limit on attempts per request never sees more than one
 * of them, and each one costs a worker with everything that runs there. Retries are recognized by their {@link
 * Fingerprint}. Two consecutive crashes put a request into quarantine, and a run that finishes releases it. Notices
 * of peers may arrive late, repeatedly and in any order.
 */
public final class RequestQuarantine {
    static final long NANOS_PER_MILLI = 1_000_000L;

    /** Time for which a crash counts. After that, the request may be tried once more. */
    private static final long CRASH_RETENTION_NANOS = 600_000 * NANOS_PER_MILLI;

    /** Weight that puts a request into quarantine: two crashes before any output, four during output, or a mixture. */
    private static final int QUARANTINE_WEIGHT = 4;

    /** Maximum number of records. Beyond it, the record with the lowest weight of crashes is evicted. */
    private static final int MAX_RECORDS = 1_024;

    /** Number of times that a new notice is sent, because messages get lost. */
    private static final int SEND_COUNT = 3;

    private static final int MAX_UPDATES = 12;
    private static final int MAX_UNSENT = 256;

    /** Interval at which the requests in quarantine are sent again, for processes that have started since. */
    private static final long REMINDER_INTERVAL_NANOS = 1_000 * NANOS_PER_MILLI;

    /** Maximum number of requests per reminder. */
    private static final int MAX_REMINDERS = 4;

    private static final long CLEANUP_INTERVAL_NANOS = 10_000 * NANOS_PER_MILLI;

    private final Map<Fingerprint, CrashRecord> records = new HashMap<>();
    private final Deque<UnsentNotice> unsent = new ArrayDeque<>();
    private final Set<Fingerprint> reminders = new LinkedHashSet<>();
    private boolean areRemindersDue = true;
    private long remindedNanos;
    private long cleanedUpNanos;

    /** A notice with the time of its creation, and how often it remains to be sent. */
    private record UnsentNotice(CrashNotice notice, long createdNanos, int remainingSends) {
        /** Returns the notice with its age at the given time. */
        CrashNotice at(long nowNanos) {
            long ageMillis = (nowNanos - createdNanos) / NANOS_PER_MILLI;
            return new CrashNotice(
                    notice.request(),
                    notice.ending(),
                    notice.worker(),
                    notice.runMillis(),
                    notice.agoMillis() + ageMillis);
        }

        UnsentNotice afterSend() {
            return new UnsentNotice(notice, createdNanos, remainingSends - 1);
        }
    }

    /**
     * Returns whether there are no records at all, so that fingerprints need not be computed.
     *
     * @return true if no crash is recorded for any request, which is the usual case
     */
    public boolean isEmpty() {
        return records.isEmpty();
    }

    /**
     * Decides whether a request may be sent to a worker.
     *
     * @param request the request's fingerprint
     * @param nowNanos the current monotonic time in nanoseconds
     * @return the decision
     */
    public Verdict verdict(Fingerprint request, long nowNanos) {
        CrashRecord record = records.get(request);
        if (record == null) {
            return new Verdict.Allowed();
        }
        record.removeCrashesBefore(nowNanos - CRASH_RETENTION_NANOS);
        if (!record.hasCrashes()) {
            return new Verdict.Allowed();
        }
        List<CrashRecord.Crash> crashes = record.consecutiveCrashes();
        if (weight(crashes) < QUARANTINE_WEIGHT) {
            return new Verdict.Suspect();
        }
        long endNanos = crashes.get(0).crashedNanos() + CRASH_RETENTION_NANOS;
        return new Verdict.Quarantined((endNanos - nowNanos) / NANOS_PER_MILLI);
    }

    /**
     * Applies the end of a run, observed by this process or reported by a peer.
     *
     * @param notice the request and how its run ended
     * @param nowNanos the current monotonic time in nanoseconds
     * @return whether this put the request into quarantine
     */
    public boolean applyNotice(CrashNotice notice, long nowNanos) {
        long endedNanos = nowNanos - notice.agoMillis() * NANOS_PER_MILLI;
        CrashRecord existing = records.get(notice.request());
        if (existing == null && notice.ending() == Ending.FINISHED) {
            return false;
        }
        boolean wasQuarantined = isQuarantined(notice.request(), nowNanos);
        CrashRecord record = existing == null ? createRecord(notice.request(), nowNanos) : existing;
        boolean changed = notice.ending() == Ending.FINISHED
                ? record.recordFinishedRun(endedNanos, nowNanos)
                : record.addCrash(toCrash(notice, endedNanos), nowNanos);
        if (!changed) {
            return false;
        }
        enqueueNotice(notice, nowNanos);
        boolean isQuarantined = isQuarantined(notice.request(), nowNanos);
        if (isQuarantined && !wasQuarantined) {
            reminders.add(notice.request());
        }
        return isQuarantined && !wasQuarantined;
    }

    private static CrashRecord.Crash toCrash(CrashNotice notice, long crashedNanos) {
        return new CrashRecord.Crash(
                notice.worker(),
                CrashRecord.weight(notice.ending() == Ending.CRASHED_BEFORE_OUTPUT),
                crashedNanos - notice.runMillis() * NANOS_PER_MILLI,
                crashedNanos);
    }

    private boolean isQuarantined(Fingerprint request, long nowNanos) {
        return verdict(request, nowNanos) instanceof Verdict.Quarantined;
    }

    private static int weight(List<CrashRecord.Crash> crashes) {
        return crashes.stream().mapToInt(CrashRecord.Crash::weight).sum();
    }

    private CrashRecord createRecord(Fingerprint request, long nowNanos) {
        if (records.size() >= MAX_RECORDS) {
            evictRecord(nowNanos);
        }
        CrashRecord record = new CrashRecord();
        records.put(request, record);
        return record;
    }

    /** Removes expired records or, if there are none, evicts the least recently updated one of the lowest weight. */
    private void evictRecord(long nowNanos) {
        cleanUp(nowNanos);
        if (records.size() >= MAX_RECORDS) {
            records.entrySet().stream()
                    .min(Comparator.<Map.Entry<Fingerprint, CrashRecord>>comparingInt(
                                    entry -> weight(entry.getValue().consecutiveCrashes()))
                            .thenComparingLong(entry -> entry.getValue().updatedNanos() - nowNanos))
                    .ifPresent(lowest -> records.remove(lowest.getKey()));
        }
    }

    private void cleanUp(long nowNanos) {
        cleanedUpNanos = nowNanos;
        long retainedSinceNanos = nowNanos - CRASH_RETENTION_NANOS;
        records.values().forEach(record -> record.removeCrashesBefore(retainedSinceNanos));
        records.values().removeIf(record -> record.isExpired(retainedSinceNanos));
    }

    /**
     * Enqueues a notice for the peers. Crashes during output go to the end: they come by the dozen when a worker with
     * many streams crashes and are weak evidence, so they must not delay the crashes before output, which are
     * decisive.
     */
    private void enqueueNotice(CrashNotice notice, long nowNanos) {
        UnsentNotice entry = new UnsentNotice(notice, nowNanos, SEND_COUNT);
        if (notice.ending() == Ending.CRASHED_DURING_OUTPUT) {
            unsent.addLast(entry);
        } else {
            unsent.addFirst(entry);
        }
        if (unsent.size() > MAX_UNSENT) {
            unsent.removeLast();
        }
    }

    /**
     * Sends the requests in quarantine again with the next notices, because a peer may have started and clients may
     * send them to it.
     */
    public void scheduleReminders() {
        areRemindersDue = true;
    }

    /**
     * Returns the notices to send to the peers now: new ones and, at intervals, those of the requests in quarantine,
     * for processes that have started since.
     *
     * @param nowNanos the current monotonic time in nanoseconds
     * @return a bounded number of notices, usually none
     */
    public List<CrashNotice> takeNotices(long nowNanos) {
        if (records.isEmpty()) {
            return List.of();
        }
        if (nowNanos - cleanedUpNanos > CLEANUP_INTERVAL_NANOS) {
            cleanUp(nowNanos);
        }
        List<CrashNotice> notices = takeUnsent(nowNanos);
        if (areRemindersDue || nowNanos - remindedNanos > REMINDER_INTERVAL_NANOS) {
            areRemindersDue = false;
            remindedNanos = nowNanos;
            addReminders(notices, nowNanos);
        }
        return notices;
    }

    private List<CrashNotice> takeUnsent(long nowNanos) {
        List<CrashNotice> notices = new ArrayList<>();
        List<UnsentNotice> toResend = new ArrayList<>();
        while (notices.size() < MAX_UPDATES && !unsent.isEmpty()) {
            UnsentNotice entry = unsent.removeFirst();
            notices.add(entry.at(nowNanos));
            if (entry.remainingSends() > 1) {
                toResend.add(entry.afterSend());
            }
        }
        unsent.addAll(toResend);
        return notices;
    }

    /** Adds the crashes of the next requests in quarantine, in round-robin order. */
    private void addReminders(List<CrashNotice> notices, long nowNanos) {
        List<Fingerprint> requests = reminders.stream().limit(MAX_REMINDERS).toList();
        for (Fingerprint request : requests) {
            reminders.remove(request);
            if (isQuarantined(request, nowNanos)) {
                reminders.add(request);
                records.get(request).consecutiveCrashes().stream()
                        .limit(QUARANTINE_WEIGHT)
                        .forEach(crash -> notices.add(crash.toNotice(request, nowNanos)));
            }
        }
    }
}
