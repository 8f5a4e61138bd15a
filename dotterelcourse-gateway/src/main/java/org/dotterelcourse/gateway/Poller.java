package org.dotterelcourse.gateway;

import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

/**
 * Runs a task at intervals as long as it has work, also after a run that has failed: those who wait for the task would
 * otherwise wait forever. Must be used on the event loop of its timers only.
 */
public final class Poller {
    private final Consumer<Runnable> scheduling;
    private final BooleanSupplier task;
    private boolean isScheduled;

    /**
     * Creates a poller that does not run yet.
     *
     * @param timers timers of the event loop
     * @param intervalMillis time in milliseconds from the end of a run to the next one
     * @param task returns whether it has more work, for which it must be run again
     */
    public Poller(LoopTimers timers, long intervalMillis, BooleanSupplier task) {
        this(run -> timers.runAfter(intervalMillis, run), task);
    }

    /**
     * Creates a poller that does not run yet.
     *
     * @param scheduling sets a timer of the event loop for the next run
     * @param task returns whether it has more work, for which it must be run again
     */
    public Poller(Consumer<Runnable> scheduling, BooleanSupplier task) {
        this.scheduling = scheduling;
        this.task = task;
    }

    /** Schedules a run of the task. Does nothing if one is scheduled already. */
    public void start() {
        if (!isScheduled) {
            scheduling.accept(this::run);
            isScheduled = true;
        }
    }

    private void run() {
        isScheduled = false;
        boolean hasWork = true;
        try {
            hasWork = task.getAsBoolean();
        } finally {
            if (hasWork) {
                start();
            }
        }
    }
}
