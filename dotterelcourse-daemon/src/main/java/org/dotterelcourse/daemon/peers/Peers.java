package org.dotterelcourse.daemon.peers;

import java.util.List;

import org.dotterelcourse.configuration.DaemonSettings;
import org.dotterelcourse.daemon.kernel.Kernel;
import org.dotterelcourse.daemon.kernel.Service;
import org.dotterelcourse.daemon.kernel.ServiceName;
import org.dotterelcourse.daemon.kernel.StartFinding;

/** What this daemon knows of the others. */
public final class Peers implements Service {
    /** The name that it is found by. */
    public static final ServiceName<Peers> NAME = new ServiceName<>("peers", Peers.class);

    private final DaemonSettings settings;
    private volatile int callersPort;
    private volatile boolean leaving;

    /**
     * Makes a view that holds nobody.
     *
     * @param settings this daemon's name and place
     */
    public Peers(DaemonSettings settings) {
        this.settings = settings;
    }

    @Override
    public ServiceName<Peers> name() {
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
        // Nothing runs yet.
    }

    /**
     * Tells which port callers reach this daemon on, once it is known.
     *
     * @param port the TCP port
     */
    public void callersPort(int port) {
        callersPort = port;
    }

    /** Tells the others that this daemon is leaving. */
    public void leave() {
        leaving = true;
    }

    /**
     * The daemons that a caller may use.
     *
     * @param caller anything that stays the same for one caller
     * @return own data centre first
     */
    public List<CallerAddress> callerAddresses(String caller) {
        if (leaving) {
            return List.of();
        }
        return List.of(new CallerAddress(settings.address() + ":" + callersPort, settings.dataCentre(), 1));
    }
}
