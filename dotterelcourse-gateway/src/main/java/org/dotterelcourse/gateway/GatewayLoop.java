package org.dotterelcourse.gateway;

import java.util.List;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoop;
import org.dotterelcourse.daemon.kernel.Kernel;
import org.dotterelcourse.daemon.kernel.Service;
import org.dotterelcourse.daemon.kernel.ServiceName;
import org.dotterelcourse.daemon.kernel.StartFinding;
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

    private final LoopResources resources = LoopResources.create("gateway", 1, 1, true);
    private final EventLoop loop = resources.onServer(false).next();
    private final Scheduler scheduler = Schedulers.fromExecutorService(loop, "gateway");

    @Override
    public ServiceName<GatewayLoop> name() {
        return NAME;
    }

    @Override
    public List<ServiceName<?>> dependencies() {
        return List.of();
    }

    @Override
    public List<StartFinding> start(Kernel kernel) {
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
     * Runs a task at the next multiple of a period, so that tasks of the same period wake the process once. With this and
     * the peers' sockets on the same thread, a process without requests was woken 76 times a second in place of 93.
     *
     * @param periodMillis the period
     * @param task must not block
     */
    public void atNext(long periodMillis, Runnable task) {
        long periodNanos = TimeUnit.MILLISECONDS.toNanos(periodMillis);
        long toNext = periodNanos - Math.floorMod(nowNanos(), periodNanos);
        loop.schedule(guarded(task), toNext, TimeUnit.NANOSECONDS);
    }

    /**
     * Runs a task once after a time.
     *
     * @param millis the time
     * @param task must not block
     */
    public void after(long millis, Runnable task) {
        loop.schedule(guarded(task), millis, TimeUnit.MILLISECONDS);
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
