package org.dotterelcourse.configuration;

/**
 * A worker of an upstream: one engine or service instance.
 *
 * @param name the worker's name, unique in the document
 * @param address the IP address and port, for example {@code 127.0.0.1:9101}
 * @param dataCentre the data centre of the worker
 * @param leaving whether the worker is being drained and must receive no new requests
 */
public record Worker(String name, String address, String dataCentre, boolean leaving) {
    /**
     * Creates a worker that accepts requests.
     *
     * @param name the worker's name
     * @param address the IP address and port
     * @param dataCentre the data centre of the worker
     */
    public Worker(String name, String address, String dataCentre) {
        this(name, address, dataCentre, false);
    }
}
