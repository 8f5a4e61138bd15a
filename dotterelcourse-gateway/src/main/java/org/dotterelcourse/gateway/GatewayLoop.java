package org.dotterelcourse.gateway;

import java.util.List;
import java.util.concurrent.PriorityBlockingQueue;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoop;
import org.dotterelcourse.daemon.kernel.Kernel;
import org.dotterelcourse.daemon.kernel.Service;
import org.dotterelcourse.daemon.kernel.ServiceName;
import org.dotterelcourse.daemon.kernel.StartupFailure;
import org.jboss.logging.Logger;
import reactor.core.scheduler.Scheduler;
import reactor.core.scheduler.Schedulers;
import reactor.netty.resources.LoopResources;

/**
 * The single event loop that accepts and forwards requests and runs all decisions about them, so that none of them
 * needs a lock. The VMs that clients connect to have less than one core, so more threads would add no capacity.
 */
public final class GatewayLoop implements Service, LoopTimers {
    /** Name of this service in the kernel. */
    public static final ServiceName<GatewayLoop> NAME = new ServiceName<>("gateway-loop", GatewayLoop.class);

    private static final Logger LOG = Logger.getLogger(GatewayLoop.class);

    /** How long a measured lag is kept: about the period of the periodic timers. */
    private static final long LAG_RETENTION_NANOS = 100_000_000L;

    private static final long IDLE_CHECK_MILLIS = 500;
    private static final long MAX_IDLE_LAG_MILLIS = 20;
    private static final int MAX_POSTPONEMENTS = 20;

    private final LoopResources resources = LoopResources.create("gateway", 1, 1, true);
    private final EventLoop loop = resources.onServer(false).next();
    private final Scheduler scheduler = Schedulers.fromExecutorService(loop, "gateway");
    /** Due times of pending timers. Concurrent, because any thread may schedule a timer. */
    private final PriorityBlockingQueue<Long> dueTimes = new PriorityBlockingQueue<>();

    private long lagNanos;
    private long lagMeasuredNanos;

    @Override
    public ServiceName<GatewayLoop> name() {
        return NAME;
    }

    @Override
    public List<ServiceName<?>> dependencies() {
        return List.of();
    }

    @Override
    public List<StartupFailure> start(Kernel kernel) {
        return List.of();
    }

    @Override
    public void stop() {
        resources.dispose();
    }

    /**
     * Returns the event loop for servers and clients of Reactor Netty.
     *
     * @return loop resources with this loop alone
     */
    public LoopResources resources() {
        return resources;
    }

    /**
     * Returns the event loop as a scheduler, for timers of reactive chains.
     *
     * @return a scheduler that runs its tasks on this loop
     */
    public Scheduler scheduler() {
        return scheduler;
    }

    /**
     * Runs a task on the loop. May be called on any thread.
     *
     * @param task must not block; exceptions are logged
     */
    public void execute(Runnable task) {
        loop.execute(logExceptions(task));
    }

    /**
     * Returns the event loop, for sockets that other services register on it.
     *
     * @return the loop as a Netty event loop
     */
    public EventLoop eventLoop() {
        return loop;
    }

    /**
     * Runs a task once at the next multiple of a period, so that tasks with the same period run in the same wake-up of
     * the process. May be called on any thread.
     *
     * @param periodMillis the period in milliseconds
     * @param task must not block; exceptions are logged
     */
    public void runAtNextMultiple(long periodMillis, Runnable task) {
        long periodNanos = TimeUnit.MILLISECONDS.toNanos(periodMillis);
        schedule(task, periodNanos - Math.floorMod(nowNanos(), periodNanos));
    }

    @Override
    public void runAfter(long delayMillis, Runnable task) {
        schedule(task, TimeUnit.MILLISECONDS.toNanos(delayMillis));
    }

    /**
     * Runs a task later, when the loop has caught up with its work. Meant for work that no request waits for; a loop that
     * stays behind runs it after some time all the same. May be called on any thread.
     *
     * @param task must not block; exceptions are logged
     */
    public void runWhenIdle(Runnable task) {
        runWhenIdle(task, 0);
    }

    private void runWhenIdle(Runnable task, int postponements) {
        runAfter(IDLE_CHECK_MILLIS, () -> {
            if (postponements < MAX_POSTPONEMENTS && lagMillis() > MAX_IDLE_LAG_MILLIS) {
                runWhenIdle(task, postponements + 1);
            } else {
                task.run();
            }
        });
    }

    private void schedule(Runnable task, long delayNanos) {
        long dueNanos = nowNanos() + delayNanos;
        dueTimes.add(dueNanos);
        Runnable safeTask = logExceptions(task);
        Runnable timedTask = () -> {
            recordLag(dueNanos);
            safeTask.run();
        };
        loop.schedule(timedTask, delayNanos, TimeUnit.NANOSECONDS);
    }

    /**
     * Records the lag of a timer. Of timers that run in one batch, the first one was due first and has the largest lag,
     * which shows how long the thread was busy.
     */
    private void recordLag(long dueNanos) {
        long nowNanos = nowNanos();
        dueTimes.remove(dueNanos);
        if (nowNanos - dueNanos >= lagNanos || nowNanos - lagMeasuredNanos > LAG_RETENTION_NANOS) {
            lagNanos = nowNanos - dueNanos;
            lagMeasuredNanos = nowNanos;
        }
    }

    /**
     * Returns the lag of the event loop: the largest recent delay of a timer, or that of a timer which is overdue now.
     * Must be called on the loop.
     *
     * @return the lag in milliseconds
     */
    public long lagMillis() {
        Long earliest = dueTimes.peek();
        long overdueNanos = earliest == null ? 0 : nowNanos() - earliest;
        return TimeUnit.NANOSECONDS.toMillis(Math.max(lagNanos, overdueNanos));
    }

    @Override
    public long nowNanos() {
        return System.nanoTime();
    }

    private static Runnable logExceptions(Runnable task) {
        return () -> {
            try {
                task.run();
            } catch (RuntimeException | Error e) {
                // Netty would drop the error of a timer without a line in the log.
                LOG.error("task on the gateway loop failed; the loop continues", e);
            }
        };
    }
}
