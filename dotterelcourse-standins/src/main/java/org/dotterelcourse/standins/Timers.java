package org.dotterelcourse.standins;

import java.util.concurrent.Future;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;

/** The few threads that all stand-ins of a process keep their time with. */
final class Timers {
    private static final int THREADS = 4;
    private static final ScheduledThreadPoolExecutor EXECUTOR = new ScheduledThreadPoolExecutor(THREADS, task -> {
        Thread thread = new Thread(task, "standins-timer");
        thread.setDaemon(true);
        return thread;
    });

    static {
        EXECUTOR.setRemoveOnCancelPolicy(true);
    }

    private Timers() {}

    static Future<?> after(long nanos, Runnable task) {
        return EXECUTOR.schedule(task, nanos, TimeUnit.NANOSECONDS);
    }

    static Future<?> every(long nanos, Runnable task) {
        return EXECUTOR.scheduleAtFixedRate(task, nanos, nanos, TimeUnit.NANOSECONDS);
    }
}
