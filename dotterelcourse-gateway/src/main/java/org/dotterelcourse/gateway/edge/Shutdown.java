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
import org.dotterelcourse.gateway.GatewayState;
import org.dotterelcourse.gateway.Poller;
import org.jboss.logging.Logger;

/**
 * Graceful shutdown. First the process leaves the membership, so that clients are no longer directed to it, while it
 * still accepts requests that will be answered in time. Then it rejects new requests and waits until those in flight have
 * completed. What has not completed shortly before the grace period is over is answered as it stands: as not executed if no
 * worker got it, else as possibly executed; streams are broken off.
 */
public final class Shutdown implements Service {
    /** The name under which the kernel registers the service. */
    public static final ServiceName<Shutdown> NAME = new ServiceName<>("shutdown", Shutdown.class);

    /** Clients use a resolved address for up to three times its time to live of one second. */
    private static final long LEAVING_MILLIS = 2_900;

    /** Time before the process is killed that is reserved for the last answers. */
    private static final long ANSWER_MARGIN_MILLIS = 500;

    /** Time before the process is killed that is reserved for its end. */
    private static final long KILL_MARGIN_MILLIS = 200;

    private static final Logger LOG = Logger.getLogger(Shutdown.class);

    private static final long POLL_INTERVAL_MILLIS = 50;
    private static final long NANOS_PER_MILLI = 1_000_000L;

    private final long graceMillis;
    private final CountDownLatch finished = new CountDownLatch(1);
    private GatewayLoop loop;
    private GatewayState state;
    private ClientHttpServer server;
    private Peers peers;
    private AuditTrail audit;
    private volatile boolean hasBegun;
    private long startNanos;

    /**
     * Creates a shutdown that has not begun.
     *
     * @param graceMillis the time in milliseconds after the signal at which the process is killed
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
        return List.of(GatewayLoop.NAME, GatewayState.NAME, ClientHttpServer.NAME, Peers.NAME, AuditTrail.NAME);
    }

    @Override
    public List<StartupFailure> start(Kernel kernel) {
        loop = kernel.find(GatewayLoop.NAME);
        state = kernel.find(GatewayState.NAME);
        server = kernel.find(ClientHttpServer.NAME);
        peers = kernel.find(Peers.NAME);
        audit = kernel.find(AuditTrail.NAME);
        return List.of();
    }

    @Override
    public void stop() {
        finished.countDown();
    }

    /** Begins the shutdown. Does nothing if it has begun already. May be called from any thread. */
    public void begin() {
        loop.execute(() -> {
            if (hasBegun) {
                return;
            }
            hasBegun = true;
            startNanos = loop.nowNanos();
            audit.add(AuditEvent.Kind.PROCESS, peers.self(), "SIGTERM", "serving", "leaving");
            long answerMillis = Math.max(0, graceMillis - ANSWER_MARGIN_MILLIS);
            state.shutdownAdmission().begin(startNanos + answerMillis * NANOS_PER_MILLI);
            server.enterPhase(ClientHttpServer.Phase.LEAVING);
            peers.leave();
            loop.runAfter(Math.min(LEAVING_MILLIS, answerMillis), this::drain);
            loop.runAfter(answerMillis, this::answerAll);
        });
    }

    private void drain() {
        server.enterPhase(ClientHttpServer.Phase.DRAINING);
        new Poller(loop, POLL_INTERVAL_MILLIS, this::poll).start();
    }

    private void answerAll() {
        int count = server.inFlight().count();
        if (count > 0) {
            LOG.warnf(
                    "%d requests are in flight %d ms before the end of the grace period, they are answered now",
                    count, ANSWER_MARGIN_MILLIS);
        }
        state.shutdownSignal().send();
    }

    /**
     * Returns whether the shutdown has begun.
     *
     * @return true once the event loop has handled {@link #begin()}
     */
    public boolean hasBegun() {
        return hasBegun;
    }

    /**
     * Blocks until the process may exit: no request is in flight, the grace period is nearly over, or the service is
     * stopped.
     *
     * @throws InterruptedException if the thread is interrupted while waiting
     */
    public void await() throws InterruptedException {
        finished.await();
    }

    /** Returns whether requests are in flight for which the process waits. */
    private boolean poll() {
        long elapsedMillis = (loop.nowNanos() - startNanos) / NANOS_PER_MILLI;
        if (server.inFlight().count() == 0 || elapsedMillis >= graceMillis - KILL_MARGIN_MILLIS) {
            audit.add(
                    AuditEvent.Kind.PROCESS,
                    peers.self(),
                    server.inFlight().count() + " requests in flight",
                    "leaving",
                    "ended");
            finished.countDown();
            return false;
        }
        return true;
    }
}
