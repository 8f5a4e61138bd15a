package org.dotterelcourse.gateway.edge;

import java.util.List;
import java.util.concurrent.CountDownLatch;

import org.dotterelcourse.daemon.audit.AuditEvent;
import org.dotterelcourse.daemon.audit.AuditTrail;
import org.dotterelcourse.daemon.kernel.Kernel;
import org.dotterelcourse.daemon.kernel.Service;
import org.dotterelcourse.daemon.kernel.ServiceName;
import org.dotterelcourse.daemon.kernel.StartupFailure;
import org.dotterelcourse.daemon.peers.Peers;
import org.dotterelcourse.gateway.GatewayLoop;

/**
 * Ends the process without cutting off a request: first nobody is sent here any more, then nothing is taken on, and
 * what is in flight ends by itself.
 */
public final class Shutdown implements Service {
    /** The name that it is found by. */
    public static final ServiceName<Shutdown> NAME = new ServiceName<>("shutdown", Shutdown.class);

    /** Clients keep an address answer for up to three times its time to live of one second. */
    private static final long LEAVING_MILLIS = 2_900;

    /** Left for the last bytes on their way, before the process is killed. */
    private static final long MARGIN_MILLIS = 500;

    private static final long LOOK_MILLIS = 50;
    private static final long NANOS_PER_MILLI = 1_000_000L;

    private final long graceMillis;
    private final CountDownLatch done = new CountDownLatch(1);
    private GatewayLoop loop;
    private ClientsEdge edge;
    private Peers peers;
    private AuditTrail audit;
    private volatile boolean begun;
    private long beganNanos;

    /**
     * Makes a shutdown that has not begun.
     *
     * @param graceMillis how long after the signal the process is killed
     */
    public Shutdown(long graceMillis) {
        this.graceMillis = graceMillis;
    }

    @Override
    public ServiceName<Shutdown> name() {
        return NAME;
    }

    @Override
    public List<ServiceName<?>> dependencies() {
        return List.of(GatewayLoop.NAME, ClientsEdge.NAME, Peers.NAME, AuditTrail.NAME);
    }

    @Override
    public List<StartupFailure> start(Kernel kernel) {
        loop = kernel.find(GatewayLoop.NAME);
        edge = kernel.find(ClientsEdge.NAME);
        peers = kernel.find(Peers.NAME);
        audit = kernel.find(AuditTrail.NAME);
        return List.of();
    }

    @Override
    public void stop() {
        done.countDown();
    }

    /** Begins; does nothing if it has begun. */
    public void begin() {
        loop.execute(() -> {
            if (begun) {
                return;
            }
            begun = true;
            beganNanos = loop.nowNanos();
            audit.add(AuditEvent.Kind.PROCESS, peers.self(), "SIGTERM", "serving", "leaving");
            edge.phase(ClientsEdge.Phase.LEAVING);
            peers.leave();
            loop.runAfter(LEAVING_MILLIS, () -> edge.phase(ClientsEdge.Phase.CLOSING));
            loop.runAfter(LEAVING_MILLIS + LOOK_MILLIS, this::look);
        });
    }

    /**
     * Whether a shutdown has begun.
     *
     * @return true from the signal on
     */
    public boolean begun() {
        return begun;
    }

    /**
     * Waits until the process may end.
     *
     * @throws InterruptedException if the thread is interrupted
     */
    public void await() throws InterruptedException {
        done.await();
    }

    private void look() {
        long passedMillis = (loop.nowNanos() - beganNanos) / NANOS_PER_MILLI;
        if (edge.inFlight().count() == 0 || passedMillis >= graceMillis - MARGIN_MILLIS) {
            audit.add(
                    AuditEvent.Kind.PROCESS,
                    peers.self(),
                    edge.inFlight().count() + " requests in flight",
                    "leaving",
                    "ended");
            done.countDown();
            return;
        }
        loop.runAfter(LOOK_MILLIS, this::look);
    }
}
