package org.dotterelcourse.configuration;

import java.util.List;
import java.util.Optional;

/**
 * A validated configuration with its publication number. Look-ups by name or key take constant time.
 *
 * @param number the number under which the platform published the configuration
 * @param digest the SHA-256 over the SHA-256 digests of all records in canonical form, as lower-case hexadecimal
 *     digits; equal content has an equal digest
 * @param classes the request classes, sorted by name
 * @param customers the customers, sorted by name
 * @param upstreams the upstreams, sorted by name
 */
public record Configuration(
        long number, String digest, List<RequestClass> classes, List<Customer> customers, List<Upstream> upstreams) {
    private static final int NAME_INDEX = 0;
    private static final int KEY_INDEX = 1;

    /** Copies the lists and indexes them for the look-ups. */
    public Configuration {
        classes = IndexedList.of(classes, List.of(RequestClass::name));
        customers = IndexedList.of(customers, List.of(Customer::name, Customer::keySha256));
        upstreams = IndexedList.of(upstreams, List.of(Upstream::name));
    }

    /**
     * Finds a request class by name.
     *
     * @param name the name of the request class
     * @return the request class, or empty if none matches
     */
    public Optional<RequestClass> requestClass(String name) {
        return IndexedList.find(classes, NAME_INDEX, name);
    }

    /**
     * Finds a customer by name.
     *
     * @param name the name of the customer
     * @return the customer, or empty if none matches
     */
    public Optional<Customer> customer(String name) {
        return IndexedList.find(customers, NAME_INDEX, name);
    }

    /**
     * Finds the customer that owns a bearer key.
     *
     * @param keySha256 the SHA-256 of the bearer key as lower-case hexadecimal digits
     * @return the customer, or empty if none matches
     */
    public Optional<Customer> customerOfKey(String keySha256) {
        return IndexedList.find(customers, KEY_INDEX, keySha256);
    }

    /**
     * Finds an upstream by name.
     *
     * @param name the name of the upstream
     * @return the upstream, or empty if none matches
     */
    public Optional<Upstream> upstream(String name) {
        return IndexedList.find(upstreams, NAME_INDEX, name);
    }
}
