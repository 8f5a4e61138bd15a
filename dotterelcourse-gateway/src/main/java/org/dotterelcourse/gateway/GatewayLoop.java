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
 * The one thread that takes requests, sends them on and decides about them, so that no decision needs a lock. Entry VMs
 * have less than one core, so that more threads would only take turns.
 */
public final class GatewayLoop implements Service {
    /** The name that it is found by. */
    public static final ServiceName<GatewayLoop> NAME = new ServiceName<>("gateway-loop", GatewayLoop.class);

    private static final Logger LOG = Logger.getLogger(GatewayLoop.class);

    /** How long the latest timer counts: about the period of those that always run. */
    private static final long LATE_KEPT_NANOS = 100_000_000L;

    private final LoopResources resources = LoopResources.create("gateway", 1, 1, true);
    private final EventLoop loop = resources.onServer(false).next();
    private final Scheduler scheduler = Schedulers.fromExecutorService(loop, "gateway");
    /** When the timers that have not run yet are due; any thread may set one. */
    private final PriorityBlockingQueue<Long> due = new PriorityBlockingQueue<>();

    private long lateNanos;
    private long lateSinceNanos;

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
     * The thread for servers and clients.
     *
     * @return the loop in Reactor Netty's form
     */
    public LoopResources resources() {
        return resources;
    }

    /**
     * The thread for timers of reactive chains.
     *
     * @return the loop in Reactor's form
     */
    public Scheduler scheduler() {
        return scheduler;
    }

    /**
     * Runs a task soon.
     *
     * @param task must not block
     */
    public void execute(Runnable task) {
        loop.execute(guarded(task));
    }

    /**
     * The thread itself, for sockets of other parts.
     *
     * @return the loop in Netty's form
     */
    public EventLoop eventLoop() {
        return loop;
    }

    /**
     * Runs a task at the next multiple of a period, so that tasks of the same period wake the process once.
     *
     * @param periodMillis the period
     * @param task must not block
     */
    public void runAtNextMultiple(long periodMillis, Runnable task) {
        long periodNanos = TimeUnit.MILLISECONDS.toNanos(periodMillis);
        schedule(task, periodNanos - Math.floorMod(nowNanos(), periodNanos));
    }

    /**
     * Runs a task once after a time.
     *
     * @param millis the time
     * @param task must not block
     */
    public void runAfter(long millis, Runnable task) {
        schedule(task, TimeUnit.MILLISECONDS.toNanos(millis));
    }

    private void schedule(Runnable task, long delayNanos) {
        long dueNanos = nowNanos() + delayNanos;
        due.add(dueNanos);
        Runnable guarded = guarded(task);
        Runnable timed = () -> {
            ran(dueNanos);
            guarded.run();
        };
        loop.schedule(timed, delayNanos, TimeUnit.NANOSECONDS);
    }

    /** Of timers that run one after the other, the first was due first; it tells how long the thread was away. */
    private void ran(long dueNanos) {
        long now = nowNanos();
        due.remove(dueNanos);
        if (now - dueNanos >= lateNanos || now - lateSinceNanos > LATE_KEPT_NANOS) {
            lateNanos = now - dueNanos;
            lateSinceNanos = now;
        }
    }

    /**
     * How far the thread is behind: how late the latest of its timers lately was, or is by now. Only on this thread.
     *
     * @return milliseconds
     */
    public long lagMillis() {
        Long first = due.peek();
        long waitingNanos = first == null ? 0 : nowNanos() - first;
        return TimeUnit.NANOSECONDS.toMillis(Math.max(lateNanos, waitingNanos));
    }

    /**
     * The monotonic clock of all decisions.
     *
     * @return nanoseconds since some fixed moment in the life of the process
     */
    public long nowNanos() {
        return System.nanoTime();
    }

    private static Runnable guarded(Runnable task) {
        return () -> {
            try {
                task.run();
            } catch (RuntimeException e) {
                LOG.error("a task of the gateway failed", e);
            }
        };
    }
}
