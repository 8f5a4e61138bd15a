package org.dotterelcourse.daemon.kernel;

import java.util.List;

/** A component of a process that the {@link Kernel} starts and stops. */
public interface Service {
    /**
     * Returns the name under which other services find this one.
     *
     * @return the name, unique in a kernel
     */
    ServiceName<?> name();

    /**
     * Returns the services that must have started before this one starts, and must not stop before it has stopped.
     *
     * @return their names
     */
    List<ServiceName<?>> dependencies();

    /**
     * Starts the service. If it fails, it must release everything that it has started.
     *
     * @param kernel the registry in which the dependencies are found
     * @return the reasons why it could not start; empty if it is running
     */
    List<StartupFailure> start(Kernel kernel);

    /** Stops the service. Called at most once, and only after a successful start. */
    void stop();
}
