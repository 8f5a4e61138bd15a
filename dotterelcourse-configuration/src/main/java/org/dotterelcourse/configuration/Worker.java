package org.dotterelcourse.configuration;

/**
 * One worker of an upstream.
 *
 * @param name the worker's name, unique in the document
 * @param address its IP number and port, as in {@code 127.0.0.1:9101}
 * @param dataCentre its data centre
 * @param leaving whether it is to get no new work
 */
public record Worker(String name, String address, String dataCentre, boolean leaving) {
    /**
     * A worker that takes work.
     *
     * @param name the worker's name
     * @param address its IP number and port
     * @param dataCentre its data centre
     */
    public Worker(String name, String address, String dataCentre) {
        this(name, address, dataCentre, false);
    }
}
