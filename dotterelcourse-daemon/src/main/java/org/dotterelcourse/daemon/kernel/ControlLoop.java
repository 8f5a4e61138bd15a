package org.dotterelcourse.daemon.kernel;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

import org.jboss.logging.Logger;

/**
 * The one thread that every state machine of the daemon runs on, so that none of them needs a lock. Nothing that runs
 * here may block.
 */
public final class ControlLoop implements Service {
    /** The name that it is found by. */
    public static final ServiceName<ControlLoop> NAME = new ServiceName<>("control-loop", ControlLoop.class);

    private static final Logger LOG = Logger.getLogger(ControlLoop.class);

    private ScheduledExecutorService executor;

    @Override
    public ServiceName<ControlLoop> name() {
        return NAME;
    }

    @Override
    public List<ServiceName<?>> dependencies() {
        return List.of();
    }

    @Override
    public List<StartupFailure> start(Kernel kernel) {
        executor = Executors.newSingleThreadScheduledExecutor(task -> {
            Thread thread = new Thread(task, "control");
            thread.setDaemon(true);
            return thread;
        });
        return List.of();
    }

    @Override
    public void stop() {
        executor.shutdownNow();
    }

    /**
     * Runs a task soon.
     *
     * @param task the task
     */
    public void execute(Runnable task) {
        try {
            executor.execute(guarded(task));
        } catch (RejectedExecutionException e) {
            // A last event of a connection may come in while the process ends; there is nothing left to tell it to.
            LOG.debug("the control loop has stopped", e);
        }
    }

    /**
     * Runs a task once after a time.
     *
     * @param delayNanos the time
     * @param task the task
     */
    public void scheduleOnce(long delayNanos, Runnable task) {
        executor.schedule(guarded(task), delayNanos, TimeUnit.NANOSECONDS);
    }

    /**
     * Runs a task again and again, until the loop stops.
     *
     * @param period the time from one start to the next
     * @param task the task
     */
    public void schedulePeriodically(Duration period, Runnable task) {
        executor.scheduleAtFixedRate(guarded(task), period.toNanos(), period.toNanos(), TimeUnit.NANOSECONDS);
    }

    /**
     * The monotonic clock that every state machine of the daemon is told the time by.
     *
     * @return nanoseconds since some fixed moment in the life of the process
     */
    public long nowNanos() {
        return System.nanoTime();
    }

    /**
     * An exception that left a periodic task would end it without a trace: the daemon would look well and never again
     * renew a lease. So each is logged, and the task goes on.
     */
    private static Runnable guarded(Runnable task) {
        return () -> {
            try {
                task.run();
            } catch (RuntimeException e) {
                LOG.error("a control task failed", e);
            }
        };
    }
}
