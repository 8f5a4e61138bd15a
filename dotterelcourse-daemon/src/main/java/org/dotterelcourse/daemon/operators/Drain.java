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
 * Shuts the daemon down without cutting off a request: it is named to no new caller, goes on serving those that still
 * hold its address, then takes no more connections and waits for the requests in flight.
 */
public final class Drain implements Service {
    /** The name that it is found by. */
    public static final ServiceName<Drain> NAME = new ServiceName<>("drain", Drain.class);

    private final DaemonSettings settings;
    private final AtomicBoolean begun = new AtomicBoolean();
    private final Sinks.Empty<Void> done = Sinks.empty();
    private CallersEdge edge;
    private AuditTrail audit;
    private Peers peers;

    /**
     * Makes it; nothing happens before {@link #begin}.
     *
     * @param settings how long callers keep an address, and how long to wait for requests in flight
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
        edge = kernel.find(CallersEdge.NAME);
        audit = kernel.find(AuditTrail.NAME);
        peers = kernel.find(Peers.NAME);
        // Two processes under one name would both be taken for the owner of the same cells.
        peers.onSuperseded(() -> begin("another process has this daemon's name"));
        return List.of();
    }

    @Override
    public void stop() {
        // A drain that is under way ends with the process.
    }

    /**
     * Begins to drain; a second call changes nothing.
     *
     * @param cause why, for the audit trail
     */
    public void begin(String cause) {
        if (!begun.compareAndSet(false, true)) {
            return;
        }
        audit.add(AuditEvent.Kind.DRAINING, settings.name(), cause, "serving", "draining");
        peers.leave();
        edge.drain();
        Mono.delay(settings.addressesTimeToLive())
                .then(Mono.defer(edge::finish))
                .timeout(settings.addressesTimeToLive().plus(settings.drainLimit()))
                .onErrorComplete()
                .subscribe(none -> {}, error -> {}, this::finished);
    }

    /**
     * Whether the daemon drains.
     *
     * @return true from the first call of {@link #begin} on
     */
    public boolean begun() {
        return begun.get();
    }

    /**
     * Waits until it is drained.
     *
     * @return completes when nothing is in flight, or the limit has passed
     */
    public Mono<Void> done() {
        return done.asMono();
    }

    /**
     * The longest time from {@link #begin} to {@link #done}.
     *
     * @return that time
     */
    public Duration limit() {
        return settings.addressesTimeToLive().plus(settings.drainLimit());
    }

    private void finished() {
        audit.add(
                AuditEvent.Kind.DRAINING,
                settings.name(),
                edge.inFlight() == 0 ? "nothing in flight" : "limit reached with " + edge.inFlight() + " in flight",
                "draining",
                "drained");
        done.tryEmitEmpty();
    }
}
