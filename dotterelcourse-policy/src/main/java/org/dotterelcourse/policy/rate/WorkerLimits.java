package org.dotterelcourse.policy.rate;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;

/**
 * The latest limits that workers have stated, by worker incarnation, replicated among the processes of a fleet by gossip:
 * requests per second that they accept, or rejections per second that they bear.
 *
 * <p>Answers overloaded workers, whose limit applies to all processes together: processes without a recent response
 * of such a worker learn the limit, and its end, from notices of their peers. Notices may arrive late, repeatedly and
 * in any order; the most recent statement of the worker wins.
 */
public final class WorkerLimits {
    private static final long NANOS_PER_MILLI = 1_000_000L;

    /** Number of times that a changed limit is sent, because messages get lost. */
    private static final int SEND_COUNT = 3;

    private static final int MAX_UPDATES = 64;

    /** Interval at which the limits in force are sent again, for processes that have started since. */
    private static final long REMINDER_INTERVAL_NANOS = 1_000 * NANOS_PER_MILLI;

    private static final int MAX_REMINDERS = 64;

    /**
     * Minimum difference in time for a peer's notice with an unchanged limit to count as more recent. Without it, the
     * time that the notice takes between peers would make it seem more recent than it is.
     */
    private static final long MIN_REPEAT_NANOS = 1_000 * NANOS_PER_MILLI;

    /** Ordered by the time of the last reminder, the least recent first. */
    private final Map<Integer, Statement> statements = new LinkedHashMap<>();

    private boolean areRemindersDue = true;
    private long remindedNanos;

    /** A worker's statement of its limit, and how often it remains to be sent. */
    private record Statement(OptionalDouble perSecond, long statedNanos, int remainingSends) {
        boolean hasSameLimit(Statement other) {
            return perSecond.equals(other.perSecond);
        }

        Statement withRemainingSends(int sends) {
            return new Statement(perSecond, statedNanos, sends);
        }

        LimitNotice toNotice(int worker, long nowNanos) {
            return new LimitNotice(worker, perSecond, (nowNanos - statedNanos) / NANOS_PER_MILLI);
        }
    }

    /**
     * Updates the limit of a worker from its response to this process.
     *
     * @param worker the worker's incarnation
     * @param perSecond requests per second that it accepts from all processes together; empty if it set no limit
     * @param nowNanos the current monotonic time in nanoseconds
     * @return whether the limit has changed
     */
    public boolean updateFromWorker(int worker, OptionalDouble perSecond, long nowNanos) {
        Statement current = statements.get(worker);
        if (current == null && perSecond.isEmpty()) {
            return false;
        }
        Statement statement = new Statement(perSecond, nowNanos, SEND_COUNT);
        boolean changed = current == null || !statement.hasSameLimit(current);
        statements.put(worker, changed ? statement : statement.withRemainingSends(current.remainingSends()));
        return changed;
    }

    /**
     * Updates the limit of a worker from a peer's notice. If the notice is outdated, the current limit is sent with the
     * next notices.
     *
     * @param notice the peer's notice
     * @param nowNanos the current monotonic time in nanoseconds
     * @return whether the limit has changed
     */
    public boolean updateFromPeer(LimitNotice notice, long nowNanos) {
        Statement statement =
                new Statement(notice.perSecond(), nowNanos - notice.agoMillis() * NANOS_PER_MILLI, SEND_COUNT);
        Statement current = statements.get(notice.worker());
        if (current == null) {
            if (notice.perSecond().isPresent()) {
                statements.put(notice.worker(), statement);
            }
            return notice.perSecond().isPresent();
        }
        long newerNanos = statement.statedNanos() - current.statedNanos();
        if (statement.hasSameLimit(current)) {
            if (newerNanos > MIN_REPEAT_NANOS) {
                statements.put(notice.worker(), statement.withRemainingSends(current.remainingSends()));
            }
            return false;
        }
        statements.put(
                notice.worker(),
                newerNanos > 0 ? statement : current.withRemainingSends(Math.max(1, current.remainingSends())));
        return newerNanos > 0;
    }

    /**
     * Returns the latest limit of a worker.
     *
     * @param worker the worker's incarnation
     * @return requests per second that it accepts from all processes together; empty if it sets no limit
     */
    public OptionalDouble limit(int worker) {
        Statement current = statements.get(worker);
        return current == null ? OptionalDouble.empty() : current.perSecond();
    }

    /**
     * Returns whether there is a statement of a worker, which may be that it sets no limit any more.
     *
     * @param worker the worker's incarnation
     * @return false if the worker has never set a limit
     */
    public boolean isKnown(int worker) {
        return statements.containsKey(worker);
    }

    /**
     * Returns the age of the latest statement about a worker.
     *
     * @param worker the worker's incarnation
     * @param nowNanos the current monotonic time in nanoseconds
     * @return the time in nanoseconds since the worker made the statement; 0 if there is none
     */
    public long ageNanos(int worker, long nowNanos) {
        Statement current = statements.get(worker);
        return current == null ? 0 : nowNanos - current.statedNanos();
    }

    /**
     * Removes a worker that is no longer published.
     *
     * @param worker the worker's incarnation
     */
    public void remove(int worker) {
        statements.remove(worker);
    }

    /** Sends the limits in force again with the next notices, because a peer may have started. */
    public void scheduleReminders() {
        areRemindersDue = true;
    }

    /**
     * Returns the notices to send to the peers now: changed limits and, at intervals, the limits in force.
     *
     * @param nowNanos the current monotonic time in nanoseconds
     * @return a bounded number of notices, usually none
     */
    public List<LimitNotice> takeNotices(long nowNanos) {
        List<LimitNotice> notices = new ArrayList<>();
        if (statements.isEmpty()) {
            return notices;
        }
        for (Map.Entry<Integer, Statement> entry : statements.entrySet()) {
            Statement statement = entry.getValue();
            if (statement.remainingSends() > 0 && notices.size() < MAX_UPDATES) {
                notices.add(statement.toNotice(entry.getKey(), nowNanos));
                entry.setValue(statement.withRemainingSends(statement.remainingSends() - 1));
            }
        }
        if (areRemindersDue || nowNanos - remindedNanos > REMINDER_INTERVAL_NANOS) {
            areRemindersDue = false;
            remindedNanos = nowNanos;
            addReminders(notices, nowNanos);
        }
        return notices;
    }

    private void addReminders(List<LimitNotice> notices, long nowNanos) {
        List<Integer> workers = statements.entrySet().stream()
                .filter(entry -> entry.getValue().perSecond().isPresent())
                .map(Map.Entry::getKey)
                .limit(MAX_REMINDERS)
                .toList();
        for (Integer worker : workers) {
            Statement statement = statements.remove(worker);
            statements.put(worker, statement);
            notices.add(statement.toNotice(worker, nowNanos));
        }
    }
}
