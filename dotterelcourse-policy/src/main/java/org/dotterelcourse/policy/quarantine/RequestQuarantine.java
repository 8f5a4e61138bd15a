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
 * Refuses requests that crash the workers which run them.
 *
 * <p>It answers a request whose content ends any worker that begins to run it, while its caller sends it again: each repeat
 * has a new id and comes to another process, so that a bound on attempts never sees more than one, and each costs a worker
 * and all that runs there. Repeats are joined by their {@link Fingerprint}. Two crashes, one after the other, put a request
 * into quarantine; a run that finishes ends it. What one process sees all learn by notices, which may come in any order,
 * late and more than once.
 */
public final class RequestQuarantine {
    static final long NANOS_PER_MILLI = 1_000_000L;

    /** How long a crash counts; after that the request may be tried once more. */
    private static final long COUNTED_NANOS = 600_000 * NANOS_PER_MILLI;

    /** Two crashes before any output, four during it, or a mixture. */
    private static final int HELD_WEIGHT = 4;

    /** Records that are kept; beyond it those with the fewest crashes go first. */
    private static final int MOST_RECORDS = 1_024;

    /** How often news is told, because messages get lost. */
    private static final int TELL_TIMES = 3;

    private static final int MOST_NEWS = 12;
    private static final int MOST_UNTOLD = 256;

    /** Requests in quarantine are told again this often, for processes that have started since. */
    private static final long REMIND_NANOS = 1_000 * NANOS_PER_MILLI;

    private static final int MOST_REMINDERS = 4;

    private static final long CLEAN_NANOS = 10_000 * NANOS_PER_MILLI;

    private final Map<Fingerprint, CrashRecord> records = new HashMap<>();
    private final Deque<News> untold = new ArrayDeque<>();
    private final Set<Fingerprint> reminders = new LinkedHashSet<>();
    private boolean remindSoon = true;
    private long remindedNanos;
    private long cleanedNanos;

    /** A notice with the time at which it was made, and how often it is still to be told. */
    private record News(CrashNotice notice, long madeNanos, int times) {
        CrashNotice aged(long nowNanos) {
            long more = (nowNanos - madeNanos) / NANOS_PER_MILLI;
            return new CrashNotice(
                    notice.request(), notice.ending(), notice.worker(), notice.runMillis(), notice.agoMillis() + more);
        }

        News toldOnce() {
            return new News(notice, madeNanos, times - 1);
        }
    }

    /**
     * Whether no request is known under which a worker crashed, so that fingerprints need not be computed.
     *
     * @return true in the usual case
     */
    public boolean isEmpty() {
        return records.isEmpty();
    }

    /**
     * Judges a request.
     *
     * @param request its fingerprint
     * @param nowNanos the time
     * @return whether it may be sent to a worker
     */
    public Verdict verdict(Fingerprint request, long nowNanos) {
        CrashRecord found = records.get(request);
        if (found == null) {
            return new Verdict.Allowed();
        }
        found.forget(nowNanos - COUNTED_NANOS);
        if (!found.suspected()) {
            return new Verdict.Allowed();
        }
        List<CrashRecord.Mark> chain = found.chain();
        if (weight(chain) < HELD_WEIGHT) {
            return new Verdict.Suspect();
        }
        long endNanos = chain.get(0).crashedNanos() + COUNTED_NANOS;
        return new Verdict.Quarantined((endNanos - nowNanos) / NANOS_PER_MILLI);
    }

    /**
     * Something happened to a run of a request, at this process or at one that tells of it.
     *
     * @param notice what happened
     * @param nowNanos the time
     * @return whether this put the request into quarantine
     */
    public boolean applyNotice(CrashNotice notice, long nowNanos) {
        long endedNanos = nowNanos - notice.agoMillis() * NANOS_PER_MILLI;
        CrashRecord known = records.get(notice.request());
        if (known == null && notice.ending() == Ending.FINISHED) {
            return false;
        }
        boolean heldBefore = held(notice.request(), nowNanos);
        CrashRecord record = known == null ? create(notice.request(), nowNanos) : known;
        boolean news = notice.ending() == Ending.FINISHED
                ? record.finished(endedNanos, nowNanos)
                : record.crashed(mark(notice, endedNanos), nowNanos);
        if (!news) {
            return false;
        }
        tell(notice, nowNanos);
        boolean held = held(notice.request(), nowNanos);
        if (held && !heldBefore) {
            reminders.add(notice.request());
        }
        return held && !heldBefore;
    }

    private static CrashRecord.Mark mark(CrashNotice notice, long crashedNanos) {
        return new CrashRecord.Mark(
                notice.worker(),
                CrashRecord.weight(notice.ending() == Ending.CRASHED_BEFORE_OUTPUT),
                crashedNanos - notice.runMillis() * NANOS_PER_MILLI,
                crashedNanos);
    }

    private boolean held(Fingerprint request, long nowNanos) {
        return verdict(request, nowNanos) instanceof Verdict.Quarantined;
    }

    private static int weight(List<CrashRecord.Mark> chain) {
        return chain.stream().mapToInt(CrashRecord.Mark::weight).sum();
    }

    private CrashRecord create(Fingerprint request, long nowNanos) {
        if (records.size() >= MOST_RECORDS) {
            makeRoom(nowNanos);
        }
        CrashRecord record = new CrashRecord();
        records.put(request, record);
        return record;
    }

    private void makeRoom(long nowNanos) {
        clean(nowNanos);
        if (records.size() >= MOST_RECORDS) {
            records.entrySet().stream()
                    .min(Comparator.<Map.Entry<Fingerprint, CrashRecord>>comparingInt(
                                    entry -> weight(entry.getValue().chain()))
                            .thenComparingLong(entry -> entry.getValue().touchedNanos() - nowNanos))
                    .ifPresent(least -> records.remove(least.getKey()));
        }
    }

    private void clean(long nowNanos) {
        cleanedNanos = nowNanos;
        long beforeNanos = nowNanos - COUNTED_NANOS;
        records.values().forEach(record -> record.forget(beforeNanos));
        records.values().removeIf(record -> record.outdated(beforeNanos));
    }

    /**
     * Crashes during output come by the dozen when a worker with many streams ends, and say little. They must not hold up
     * those before output, which decide.
     */
    private void tell(CrashNotice notice, long nowNanos) {
        News news = new News(notice, nowNanos, TELL_TIMES);
        if (notice.ending() == Ending.CRASHED_DURING_OUTPUT) {
            untold.addLast(news);
        } else {
            untold.addFirst(news);
        }
        if (untold.size() > MOST_UNTOLD) {
            untold.removeLast();
        }
    }

    /** A peer may have started: it is told with the next notices what is held, before clients send it the same. */
    public void scheduleReminders() {
        remindSoon = true;
    }

    /**
     * What to tell the peers now: news, and now and then the requests in quarantine, for processes that have started since.
     *
     * @param nowNanos the time
     * @return a bounded number of notices, usually none
     */
    public List<CrashNotice> takeNotices(long nowNanos) {
        if (records.isEmpty()) {
            return List.of();
        }
        if (nowNanos - cleanedNanos > CLEAN_NANOS) {
            clean(nowNanos);
        }
        List<CrashNotice> notices = takeNews(nowNanos);
        if (remindSoon || nowNanos - remindedNanos > REMIND_NANOS) {
            remindSoon = false;
            remindedNanos = nowNanos;
            remind(notices, nowNanos);
        }
        return notices;
    }

    private List<CrashNotice> takeNews(long nowNanos) {
        List<CrashNotice> notices = new ArrayList<>();
        List<News> again = new ArrayList<>();
        while (notices.size() < MOST_NEWS && !untold.isEmpty()) {
            News news = untold.removeFirst();
            notices.add(news.aged(nowNanos));
            if (news.times() > 1) {
                again.add(news.toldOnce());
            }
        }
        untold.addAll(again);
        return notices;
    }

    private void remind(List<CrashNotice> notices, long nowNanos) {
        List<Fingerprint> turn = reminders.stream().limit(MOST_REMINDERS).toList();
        for (Fingerprint request : turn) {
            reminders.remove(request);
            if (held(request, nowNanos)) {
                reminders.add(request);
                records.get(request).chain().stream()
                        .limit(HELD_WEIGHT)
                        .forEach(mark -> notices.add(mark.notice(request, nowNanos)));
            }
        }
    }
}
