package org.dotterelcourse.daemon.kernel;

import java.util.List;

/** A part of the daemon with a life of its own. */
public interface Service {
    /**
     * The name that others find it by.
     *
     * @return the name
     */
    ServiceName<?> name();

    /**
     * The services that must run before this one starts, and until after it has stopped.
     *
     * @return their names
     */
    List<ServiceName<?>> dependencies();

    /**
     * Starts the service. A failing start leaves nothing running.
     *
     * @param kernel where the dependencies are found
     * @return what kept it from starting, empty if it runs
     */
    List<StartupFailure> start(Kernel kernel);

    /** Stops the service. Called once, and only after a start without findings. */
    void stop();
}
