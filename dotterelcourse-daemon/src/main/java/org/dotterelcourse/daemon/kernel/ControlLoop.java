package org.dotterelcourse.daemon.kernel;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

import org.jboss.logging.Logger;

/**
 * Runs all state machines of the daemon on a single thread, so that they need no locks. Tasks must not block.
 */
public final class ControlLoop implements Service {
    /** The name under which the kernel registers this service. */
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
     * Runs a task as soon as possible. After the loop has stopped, the task is discarded.
     *
     * @param task the task; must not block
     */
    public void execute(Runnable task) {
        try {
            executor.execute(loggingExceptions(task));
        } catch (RejectedExecutionException e) {
            // Connections can still report events while the process shuts down.
            LOG.debug("the control loop has stopped; discarding a task", e);
        }
    }

    /**
     * Runs a task once after a delay.
     *
     * @param delayNanos the delay in nanoseconds
     * @param task the task; must not block
     */
    public void scheduleOnce(long delayNanos, Runnable task) {
        executor.schedule(loggingExceptions(task), delayNanos, TimeUnit.NANOSECONDS);
    }

    /**
     * Runs a task periodically until the loop stops. The first run is one period from now.
     *
     * @param period the time from one start of the task to the next
     * @param task the task; must not block
     */
    public void schedulePeriodically(Duration period, Runnable task) {
        executor.scheduleAtFixedRate(loggingExceptions(task), period.toNanos(), period.toNanos(), TimeUnit.NANOSECONDS);
    }

    /**
     * Returns the current time of the monotonic clock that all state machines of the daemon use.
     *
     * @return the time in nanoseconds, relative to an arbitrary origin that is fixed for the process
     */
    public long nowNanos() {
        return System.nanoTime();
    }

    /**
     * Wraps a task so that its exceptions and errors are logged. An uncaught one would silently cancel a periodic task: the
     * daemon would look healthy but never renew a lease again.
     */
    private static Runnable loggingExceptions(Runnable task) {
        return () -> {
            try {
                task.run();
            } catch (RuntimeException | Error e) {
                LOG.error("a task on the control loop failed", e);
            }
        };
    }
}
