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

/** Holds the configuration in force. Its number only ever rises, whoever brings the next one. */
public final class ConfigurationStore implements Service {
    /** The name that it is found by. */
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
     * The configuration in force.
     *
     * @return it, or empty as long as this process has none and serves no caller
     */
    public Optional<Configuration> inForce() {
        return Optional.ofNullable(inForce);
    }

    /**
     * Calls back with the configuration in force, if there is one, and with every later one.
     *
     * @param listener called on the thread that brings the configuration; must not block
     */
    public synchronized void onChange(Consumer<Configuration> listener) {
        listeners.add(listener);
        if (inForce != null) {
            listener.accept(inForce);
        }
    }

    /**
     * Puts a configuration in force, unless one with the same or a higher number is.
     *
     * @param next the configuration
     * @param cause where it came from, for the audit trail
     * @return whether it is in force now because of this call
     */
    public synchronized boolean offer(Configuration next, String cause) {
        Configuration before = inForce;
        // A reader that was paused, or a service that lost its newest entries, brings an old number late. Taking it
        // would undo a change that callers have seen in force.
        if (before != null && next.number() <= before.number()) {
            return false;
        }
        inForce = next;
        audit.add(
                AuditEvent.Kind.CONFIGURATION,
                next.digest(),
                cause,
                before == null ? "" : Long.toString(before.number()),
                Long.toString(next.number()));
        listeners.forEach(listener -> listener.accept(next));
        return true;
    }
}
