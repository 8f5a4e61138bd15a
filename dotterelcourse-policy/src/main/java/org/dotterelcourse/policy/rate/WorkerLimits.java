package org.dotterelcourse.policy.rate;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;

/**
 * What workers last said of the requests that they take in a second, by the incarnation of the worker.
 *
 * <p>It answers workers in need, whose limit is for all processes together: those that had no answer of such a worker
 * lately learn of its limit, and of its end, by notices of their peers. These may come in any order, late and more than
 * once; the worker's newest word counts.
 */
public final class WorkerLimits {
    private static final long NANOS_PER_MILLI = 1_000_000L;

    /** How often news is told, because messages get lost. */
    private static final int TELL_TIMES = 3;

    private static final int MOST_NEWS = 64;

    /** Limits are told again this often, for processes that have started since. */
    private static final long REMIND_NANOS = 1_000 * NANOS_PER_MILLI;

    private static final int MOST_REMINDERS = 64;

    /** A word that only repeats a known one counts as newer beyond this, so that its way between peers adds nothing. */
    private static final long REPEATED_NANOS = 1_000 * NANOS_PER_MILLI;

    /** In the order in which they were last reminded of. */
    private final Map<Integer, Word> words = new LinkedHashMap<>();

    private boolean remindSoon = true;
    private long remindedNanos;

    /** A worker's word, and how often it is still to be told. */
    private record Word(OptionalDouble perSecond, long saidNanos, int untold) {
        boolean repeats(Word other) {
            return perSecond.equals(other.perSecond);
        }

        Word told(int times) {
            return new Word(perSecond, saidNanos, times);
        }

        LimitNotice notice(int worker, long nowNanos) {
            return new LimitNotice(worker, perSecond, (nowNanos - saidNanos) / NANOS_PER_MILLI);
        }
    }

    /**
     * A worker has answered this process.
     *
     * @param worker its incarnation
     * @param named requests a second that it takes from all processes, empty if it named no limit
     * @param nowNanos the time
     * @return whether this is news
     */
    public boolean updateFromWorker(int worker, OptionalDouble named, long nowNanos) {
        Word known = words.get(worker);
        if (known == null && named.isEmpty()) {
            return false;
        }
        Word word = new Word(named, nowNanos, TELL_TIMES);
        boolean news = known == null || !word.repeats(known);
        words.put(worker, news ? word : word.told(known.untold()));
        return news;
    }

    /**
     * A peer tells of a worker's word. One that is behind gets the newer word with the next notices.
     *
     * @param notice the word
     * @param nowNanos the time
     * @return whether this is news
     */
    public boolean updateFromPeer(LimitNotice notice, long nowNanos) {
        Word word = new Word(notice.perSecond(), nowNanos - notice.agoMillis() * NANOS_PER_MILLI, TELL_TIMES);
        Word known = words.get(notice.worker());
        if (known == null) {
            if (notice.perSecond().isPresent()) {
                words.put(notice.worker(), word);
            }
            return notice.perSecond().isPresent();
        }
        long newerNanos = word.saidNanos() - known.saidNanos();
        if (word.repeats(known)) {
            if (newerNanos > REPEATED_NANOS) {
                words.put(notice.worker(), word.told(known.untold()));
            }
            return false;
        }
        words.put(notice.worker(), newerNanos > 0 ? word : known.told(Math.max(1, known.untold())));
        return newerNanos > 0;
    }

    /**
     * The limit that a worker last named.
     *
     * @param worker its incarnation
     * @return requests a second, empty if it takes whatever it has room for
     */
    public OptionalDouble limit(int worker) {
        Word known = words.get(worker);
        return known == null ? OptionalDouble.empty() : known.perSecond();
    }

    /**
     * A worker is published no more.
     *
     * @param worker its incarnation
     */
    public void remove(int worker) {
        words.remove(worker);
    }

    /** A peer may have started: it is told with the next notices which workers name a limit. */
    public void scheduleReminders() {
        remindSoon = true;
    }

    /**
     * What to tell the peers now: news, and now and then the limits that stand.
     *
     * @param nowNanos the time
     * @return a bounded number of notices, usually none
     */
    public List<LimitNotice> takeNotices(long nowNanos) {
        List<LimitNotice> notices = new ArrayList<>();
        if (words.isEmpty()) {
            return notices;
        }
        for (Map.Entry<Integer, Word> entry : words.entrySet()) {
            Word word = entry.getValue();
            if (word.untold() > 0 && notices.size() < MOST_NEWS) {
                notices.add(word.notice(entry.getKey(), nowNanos));
                entry.setValue(word.told(word.untold() - 1));
            }
        }
        if (remindSoon || nowNanos - remindedNanos > REMIND_NANOS) {
            remindSoon = false;
            remindedNanos = nowNanos;
            remind(notices, nowNanos);
        }
        return notices;
    }

    private void remind(List<LimitNotice> notices, long nowNanos) {
        List<Integer> turn = words.entrySet().stream()
                .filter(entry -> entry.getValue().perSecond().isPresent())
                .map(Map.Entry::getKey)
                .limit(MOST_REMINDERS)
                .toList();
        for (Integer worker : turn) {
            Word word = words.remove(worker);
            words.put(worker, word);
            notices.add(word.notice(worker, nowNanos));
        }
    }
}
