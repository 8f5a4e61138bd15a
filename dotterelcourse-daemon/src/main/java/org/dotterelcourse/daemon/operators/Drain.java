package org.dotterelcourse.daemon.operators;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;

import org.dotterelcourse.configuration.DaemonSettings;
import org.dotterelcourse.daemon.audit.AuditEvent;
import org.dotterelcourse.daemon.audit.AuditTrail;
import org.dotterelcourse.daemon.edge.CallersEdge;
import org.dotterelcourse.daemon.kernel.Kernel;
import org.dotterelcourse.daemon.kernel.Service;
import org.dotterelcourse.daemon.kernel.ServiceName;
import org.dotterelcourse.daemon.kernel.StartupFailure;
import org.dotterelcourse.daemon.peers.Peers;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;

/**
 * Drains the daemon for a graceful shutdown. The daemon is withdrawn from the addresses given to clients and keeps
 * serving until the addresses that clients hold have expired. It then accepts no more connections and waits for the
 * requests in flight.
 */
public final class Drain implements Service {
    /** Name under which the kernel registers this service. */
    public static final ServiceName<Drain> NAME = new ServiceName<>("drain", Drain.class);

    private final DaemonSettings settings;
    private final AtomicBoolean draining = new AtomicBoolean();
    private final Sinks.Empty<Void> done = Sinks.empty();
    private CallersEdge callersEdge;
    private AuditTrail audit;
    private Peers peers;

    /**
     * Creates the service. The daemon serves normally until {@link #begin} is called.
     *
     * @param settings the daemon's settings, with the time for which clients may use an address and the maximum time to
     *     wait for requests in flight
     */
    public Drain(DaemonSettings settings) {
        this.settings = settings;
    }

    @Override
    public ServiceName<Drain> name() {
        return NAME;
    }

    @Override
    public List<ServiceName<?>> dependencies() {
        return List.of(CallersEdge.NAME, AuditTrail.NAME, Peers.NAME);
    }

    @Override
    public List<StartupFailure> start(Kernel kernel) {
        callersEdge = kernel.find(CallersEdge.NAME);
        audit = kernel.find(AuditTrail.NAME);
        peers = kernel.find(Peers.NAME);
        // If two processes had the same name, peers would treat both as the owner of the same cells.
        peers.onSuperseded(() -> begin("another process has this daemon's name"));
        return List.of();
    }

    @Override
    public void stop() {
        // Nothing to stop: a drain in progress ends with the process.
    }

    /**
     * Starts draining. Calls after the first have no effect.
     *
     * @param cause the reason, for the audit trail
     */
    public void begin(String cause) {
        if (!draining.compareAndSet(false, true)) {
            return;
        }
        audit.add(AuditEvent.Kind.DRAINING, settings.name(), cause, "serving", "draining");
        peers.leave();
        callersEdge.drain();
        Mono.delay(settings.addressesTimeToLive())
                .then(Mono.defer(callersEdge::finish))
                .timeout(settings.addressesTimeToLive().plus(settings.drainLimit()))
                .onErrorComplete()
                .subscribe(none -> {}, error -> {}, this::complete);
    }

    /**
     * Returns whether the daemon is draining or has drained.
     *
     * @return {@code true} after the first call of {@link #begin}
     */
    public boolean isDraining() {
        return draining.get();
    }

    /**
     * Returns a signal for the end of the drain.
     *
     * @return a {@code Mono} that completes when no request is in flight or {@link #limit} has passed
     */
    public Mono<Void> done() {
        return done.asMono();
    }

    /**
     * Returns the maximum duration of a drain.
     *
     * @return the maximum time from {@link #begin} to the completion of {@link #done}
     */
    public Duration limit() {
        return settings.addressesTimeToLive().plus(settings.drainLimit());
    }

    private void complete() {
        audit.add(
                AuditEvent.Kind.DRAINING,
                settings.name(),
                callersEdge.inFlight() == 0
                        ? "nothing in flight"
                        : "limit reached with " + callersEdge.inFlight() + " in flight",
                "draining",
                "drained");
        done.tryEmitEmpty();
    }
}
