package org.dotterelcourse.gateway;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.concurrent.TimeUnit;

/** Timers of an event loop in virtual time. Like the loop, they go on when a task fails, and record the failure. */
public final class ManualTimers implements LoopTimers {
    private final PriorityQueue<Timer> timers =
            new PriorityQueue<>(Comparator.comparingLong(Timer::dueNanos).thenComparingLong(Timer::number));
    private final List<Throwable> failures = new ArrayList<>();
    private long nowNanos;
    private long lastNumber;

    private record Timer(long dueNanos, long number, Runnable task) {}

    /**
     * Creates timers.
     *
     * @param nowNanos time of the beginning
     */
    public ManualTimers(long nowNanos) {
        this.nowNanos = nowNanos;
    }

    @Override
    public long nowNanos() {
        return nowNanos;
    }

    @Override
    public void runAfter(long delayMillis, Runnable task) {
        timers.add(new Timer(nowNanos + TimeUnit.MILLISECONDS.toNanos(delayMillis), ++lastNumber, task));
    }

    /**
     * Runs all tasks that are due within this time.
     *
     * @param millis the time in milliseconds
     */
    public void advance(long millis) {
        long endNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(millis);
        while (!timers.isEmpty() && timers.peek().dueNanos() <= endNanos) {
            Timer timer = timers.poll();
            nowNanos = timer.dueNanos();
            try {
                timer.task().run();
            } catch (RuntimeException | Error e) {
                failures.add(e);
            }
        }
        nowNanos = endNanos;
    }

    /**
     * Returns what tasks have thrown.
     *
     * @return the exceptions and errors in their order
     */
    public List<Throwable> failures() {
        return failures;
    }

    /**
     * Returns the number of tasks that are still to run.
     *
     * @return the number of timers
     */
    public int size() {
        return timers.size();
    }
}
