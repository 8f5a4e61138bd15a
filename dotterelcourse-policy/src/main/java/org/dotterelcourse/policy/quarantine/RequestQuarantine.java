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
import java.util.stream.Collectors;
import java.util.stream.Stream;

import org.dotterelcourse.policy.quarantine.CrashNotice.Ending;

/**
 * Rejects requests that crash the workers which run them, by their content or by a part of their prompts. The crashes that one process sees are replicated to the
 * others by gossip, and each process derives its verdicts from all known crashes.
 *
 * <p>Answers a request whose content crashes any worker that starts to run it, while its client keeps retrying. Each
 * retry has a new id and may reach another process, so that a limit on attempts per request never sees more than one
 * of them, and each one costs a worker with everything that runs there. Retries are recognized by their {@link
 * Fingerprint}. Two consecutive crashes put a request into quarantine, and a run that finishes releases it. Notices
 * of peers may arrive late, repeatedly and in any order.
 *
 * <p>Also answers requests that all differ but for a part of their prompts. Parts of sound requests that are on the same
 * workers get crashes too, but their other runs finish. Three consecutive crashes hold a part back from workers of the
 * software version that crashed; at another version one request tries it.
 */
public final class RequestQuarantine {
    static final long NANOS_PER_MILLI = 1_000_000L;

    /** Time for which a crash counts. After that, the request may be tried once more. */
    private static final long CRASH_RETENTION_NANOS = 600_000 * NANOS_PER_MILLI;

    /** Weight that puts a request into quarantine: two crashes before any output, four during output, or a mixture. */
    private static final int QUARANTINE_WEIGHT = 4;

    /**
     * Weight that holds a part of prompts back: three crashes at the beginning of an answer. One more than for contents,
     * because other requests that were at the beginning of an answer on the same worker had parts too.
     */
    private static final int PART_QUARANTINE_WEIGHT = 6;

    /** Weight from which on a part of prompts is tried by one request at a time: two crashes. */
    private static final int PART_TRIAL_WEIGHT = 4;

    /** Maximum number of records. Beyond it, the records with the lowest weights of crashes are evicted. */
    private static final int MAX_RECORDS = 1_024;

    private static final int EVICTED_AT_ONCE = 128;

    /** Number of times that a new notice is sent, because messages get lost. */
    private static final int SEND_COUNT = 3;

    private static final int MAX_UPDATES = 12;
    private static final int MAX_UNSENT = 256;

    /** Interval at which the requests in quarantine are sent again, for processes that have started since. */
    private static final long REMINDER_INTERVAL_NANOS = 1_000 * NANOS_PER_MILLI;

    /** Maximum number of requests per reminder. */
    private static final int MAX_REMINDERS = 4;

    private static final long CLEANUP_INTERVAL_NANOS = 10_000 * NANOS_PER_MILLI;

    private final Map<CrashCause, CrashRecord> records = new HashMap<>();
    private final Deque<UnsentNotice> unsent = new ArrayDeque<>();
    private final Set<CrashCause> reminders = new LinkedHashSet<>();
    private boolean areRemindersDue = true;
    private long remindedNanos;
    private long cleanedUpNanos;

    /** A notice with the time of its creation, and how often it remains to be sent. */
    private record UnsentNotice(CrashNotice notice, long createdNanos, int remainingSends) {
        /** Returns the notice with its age at the given time. */
        CrashNotice at(long nowNanos) {
            long ageMillis = (nowNanos - createdNanos) / NANOS_PER_MILLI;
            return new CrashNotice(
                    notice.cause(),
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
     * @param cause the request's content, or a part of its prompt at workers of one software version
     * @param nowNanos the current monotonic time in nanoseconds
     * @return the decision
     */
    public Verdict verdict(CrashCause cause, long nowNanos) {
        List<CrashRecord.Crash> crashes = crashes(cause, nowNanos);
        return cause.isPart() ? partVerdict(cause, crashes, nowNanos) : contentVerdict(crashes, nowNanos);
    }

    private static Verdict contentVerdict(List<CrashRecord.Crash> crashes, long nowNanos) {
        if (crashes.isEmpty()) {
            return new Verdict.Allowed();
        }
        return weight(crashes) < QUARANTINE_WEIGHT ? new Verdict.Suspect() : quarantined(crashes, nowNanos);
    }

    /**
     * Decides whether a request may be sent to the workers of one software version, by the shared parts of its prompt.
     *
     * <p>A part gets the crashes of every part that requests have beside it. Parts that the request lacks explain crashes that
     * they have too. If several of them together explain all crashes of a part that would be held back, the request is a
     * rare trial; if one explains them all while too few are known for holding the part back, the request is sent.
     *
     * @param parts the parts at that version
     * @param nowNanos the current monotonic time in nanoseconds
     * @return the strictest decision on the parts
     */
    public Verdict verdict(List<CrashCause> parts, long nowNanos) {
        Verdict strictest = new Verdict.Allowed();
        for (CrashCause part : parts) {
            Verdict verdict = verdict(part, nowNanos);
            if (verdict instanceof Verdict.Trial && isExplainedByOne(part, parts)) {
                verdict = new Verdict.Allowed();
            } else if (verdict instanceof Verdict.Quarantined && isExplainedBySeveral(part, parts)) {
                verdict = new Verdict.Trial(true);
            }
            if (verdict instanceof Verdict.Quarantined) {
                return verdict;
            }
            strictest = verdict instanceof Verdict.Allowed ? strictest : verdict;
        }
        return strictest;
    }

    private boolean isExplainedByOne(CrashCause part, List<CrashCause> request) {
        CrashRecord record = records.get(part);
        return record != null
                && record.hasCrashes()
                && recordsOutside(request, part.version()).anyMatch(other -> other.includesCrashesOf(record));
    }

    private boolean isExplainedBySeveral(CrashCause part, List<CrashCause> request) {
        CrashRecord record = records.get(part);
        if (record == null || !record.hasCrashes()) {
            return false;
        }
        Set<Integer> explained = recordsOutside(request, part.version())
                .flatMap(other -> other.crashedWorkers().stream())
                .collect(Collectors.toSet());
        return explained.containsAll(record.crashedWorkers());
    }

    /** Returns the records of the parts that a request lacks. */
    private Stream<CrashRecord> recordsOutside(List<CrashCause> request, int version) {
        return records.entrySet().stream()
                .filter(other -> other.getKey().version() == version && !request.contains(other.getKey()))
                .map(Map.Entry::getValue);
    }

    /** At a further software version than the one whose workers have crashed, one crash is enough. */
    private Verdict partVerdict(CrashCause cause, List<CrashRecord.Crash> crashes, long nowNanos) {
        int weight = weight(crashes);
        if (weight >= PART_QUARANTINE_WEIGHT) {
            return quarantined(crashes, nowNanos);
        }
        boolean isHeldElsewhere = isHeldAtAnotherVersion(cause, nowNanos);
        if (isHeldElsewhere && weight > 0) {
            return quarantined(crashes, nowNanos);
        }
        boolean isUntested = isHeldElsewhere && !hasFinishedRun(cause);
        return isUntested || weight >= PART_TRIAL_WEIGHT ? new Verdict.Trial(false) : new Verdict.Allowed();
    }

    private static Verdict quarantined(List<CrashRecord.Crash> crashes, long nowNanos) {
        long endNanos = crashes.get(0).crashedNanos() + CRASH_RETENTION_NANOS;
        return new Verdict.Quarantined((endNanos - nowNanos) / NANOS_PER_MILLI);
    }

    /** Returns the consecutive crashes that still count. */
    private List<CrashRecord.Crash> crashes(CrashCause cause, long nowNanos) {
        CrashRecord record = records.get(cause);
        if (record == null) {
            return List.of();
        }
        record.removeCrashesBefore(nowNanos - CRASH_RETENTION_NANOS);
        return record.hasCrashes() ? record.consecutiveCrashes() : List.of();
    }

    private boolean hasFinishedRun(CrashCause cause) {
        CrashRecord record = records.get(cause);
        return record != null && record.hasFinishedRun();
    }

    private boolean isHeldAtAnotherVersion(CrashCause cause, long nowNanos) {
        return cause.isPart()
                && reminders.stream()
                        .anyMatch(held -> held.fingerprint().equals(cause.fingerprint())
                                && held.version() != cause.version()
                                && held.isPart()
                                && weight(crashes(held, nowNanos)) >= PART_QUARANTINE_WEIGHT);
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
        CrashRecord existing = records.get(notice.cause());
        if (existing == null
                && notice.ending() == Ending.FINISHED
                && !isHeldAtAnotherVersion(notice.cause(), nowNanos)) {
            return false;
        }
        boolean wasQuarantined = isQuarantined(notice.cause(), nowNanos);
        CrashRecord record = existing == null ? createRecord(notice.cause(), nowNanos) : existing;
        boolean changed = notice.ending() == Ending.FINISHED
                ? record.recordFinishedRun(endedNanos, nowNanos)
                : record.addCrash(toCrash(notice, endedNanos), nowNanos);
        if (!changed) {
            return false;
        }
        enqueueNotice(notice, nowNanos);
        boolean isQuarantined = isQuarantined(notice.cause(), nowNanos);
        if (isQuarantined && !wasQuarantined) {
            reminders.add(notice.cause());
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

    private boolean isQuarantined(CrashCause cause, long nowNanos) {
        return verdict(cause, nowNanos) instanceof Verdict.Quarantined;
    }

    private static int weight(List<CrashRecord.Crash> crashes) {
        return crashes.stream().mapToInt(CrashRecord.Crash::weight).sum();
    }

    private CrashRecord createRecord(CrashCause cause, long nowNanos) {
        if (records.size() >= MAX_RECORDS) {
            evictRecords(nowNanos);
        }
        CrashRecord record = new CrashRecord();
        records.put(cause, record);
        return record;
    }

    /**
     * Removes expired records or, if there are none, evicts the least recently updated ones of the lowest weight. Several at
     * once, because they are searched in all records.
     */
    private void evictRecords(long nowNanos) {
        cleanUp(nowNanos);
        if (records.size() >= MAX_RECORDS) {
            Map<CrashCause, Integer> weights = new HashMap<>();
            records.forEach((cause, record) -> weights.put(cause, weight(record.consecutiveCrashes())));
            List<CrashCause> evicted = records.keySet().stream()
                    .sorted(Comparator.<CrashCause>comparingInt(weights::get)
                            .thenComparingLong(cause -> records.get(cause).updatedNanos() - nowNanos))
                    .limit(EVICTED_AT_ONCE)
                    .toList();
            records.keySet().removeAll(evicted);
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
        List<CrashCause> causes = reminders.stream().limit(MAX_REMINDERS).toList();
        for (CrashCause cause : causes) {
            reminders.remove(cause);
            if (isQuarantined(cause, nowNanos)) {
                reminders.add(cause);
                records.get(cause).consecutiveCrashes().stream()
                        .limit(QUARANTINE_WEIGHT)
                        .forEach(crash -> notices.add(crash.toNotice(cause, nowNanos)));
            }
        }
    }
}
