package org.dotterelcourse.standins;

/** An outside system that listens on loopback. It is closed once and can't be started again after that. */
public interface StandIn extends AutoCloseable {
    /**
     * Where it listens.
     *
     * @return the IP number and port, as in {@code 127.0.0.1:9101}
     * @throws IllegalStateException if it was not started
     */
    String address();

    /**
     * Switches a fault on, or all faults off. A fault that a stand-in doesn't know changes nothing.
     *
     * @param fault the fault
     */
    void fault(Fault fault);

    /** Stops listening and closes all connections. */
    @Override
    void close();
}
