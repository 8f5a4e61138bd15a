package org.dotterelcourse.daemon.platform;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;

import org.dotterelcourse.configuration.Configuration;
import org.dotterelcourse.daemon.audit.AuditEvent;
import org.dotterelcourse.daemon.audit.AuditTrail;
import org.dotterelcourse.daemon.kernel.Kernel;
import org.dotterelcourse.daemon.kernel.Service;
import org.dotterelcourse.daemon.kernel.ServiceName;
import org.dotterelcourse.daemon.kernel.StartupFailure;

/** Holds the configuration in force and notifies listeners of changes. Its version number never decreases. */
public final class ConfigurationStore implements Service {
    /** Name under which the kernel registers this service. */
    public static final ServiceName<ConfigurationStore> NAME =
            new ServiceName<>("configuration", ConfigurationStore.class);

    private final List<Consumer<Configuration>> listeners = new CopyOnWriteArrayList<>();
    private AuditTrail audit;
    private volatile Configuration inForce;

    @Override
    public ServiceName<ConfigurationStore> name() {
        return NAME;
    }

    @Override
    public List<ServiceName<?>> dependencies() {
        return List.of(AuditTrail.NAME);
    }

    @Override
    public List<StartupFailure> start(Kernel kernel) {
        audit = kernel.find(AuditTrail.NAME);
        return List.of();
    }

    @Override
    public void stop() {
        listeners.clear();
    }

    /**
     * Returns the configuration in force.
     *
     * @return the configuration; empty until the first one arrives, and no caller is served until then
     */
    public Optional<Configuration> inForce() {
        return Optional.ofNullable(inForce);
    }

    /**
     * Adds a listener and calls it with the configuration in force, if there is one, and with every later one.
     *
     * @param listener called on the thread that adds the listener or offers the configuration; must not block
     */
    public synchronized void onChange(Consumer<Configuration> listener) {
        listeners.add(listener);
        if (inForce != null) {
            listener.accept(inForce);
        }
    }

    /**
     * Puts a configuration in force, unless the one in force has the same or a higher number.
     *
     * @param next the new configuration
     * @param cause origin of the configuration, recorded in the audit trail
     * @return whether this call put the configuration in force
     */
    public synchronized boolean offer(Configuration next, String cause) {
        Configuration previous = inForce;
        // A paused reader, or a service that lost its newest entries, can deliver an old number late. Accepting it
        // would
        // revert a change that callers have already observed.
        if (previous != null && next.number() <= previous.number()) {
            return false;
        }
        inForce = next;
        audit.add(
                AuditEvent.Kind.CONFIGURATION,
                next.digest(),
                cause,
                previous == null ? "" : Long.toString(previous.number()),
                Long.toString(next.number()));
        listeners.forEach(listener -> listener.accept(next));
        return true;
    }
}
