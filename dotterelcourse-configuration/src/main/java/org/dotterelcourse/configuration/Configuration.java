package org.dotterelcourse.configuration;

import java.util.List;
import java.util.Optional;

/**
 * A checked configuration document: what is in force under one number. Look-ups take constant time.
 *
 * @param number the number that the platform published it under
 * @param digest SHA-256 over the sums of the canonical sections, lower-case hexadecimal; equal for equal content
 * @param classes the request classes, sorted by name
 * @param customers the customers, sorted by name
 * @param upstreams the upstreams, sorted by name
 */
public record Configuration(
        long number, String digest, List<RequestClass> classes, List<Customer> customers, List<Upstream> upstreams) {
    private static final int BY_NAME = 0;
    private static final int BY_KEY = 1;

    /** Indexes the lists for the look-ups. */
    public Configuration {
        classes = IndexedList.of(classes, List.of(RequestClass::name));
        customers = IndexedList.of(customers, List.of(Customer::name, Customer::keySha256));
        upstreams = IndexedList.of(upstreams, List.of(Upstream::name));
    }

    /**
     * Finds a request class.
     *
     * @param name its name
     * @return the class, or empty if there is none
     */
    public Optional<RequestClass> requestClass(String name) {
        return IndexedList.find(classes, BY_NAME, name);
    }

    /**
     * Finds a customer.
     *
     * @param name its name
     * @return the customer, or empty if there is none
     */
    public Optional<Customer> customer(String name) {
        return IndexedList.find(customers, BY_NAME, name);
    }

    /**
     * Finds the customer that a bearer key belongs to.
     *
     * @param keySha256 the SHA-256 of the key, lower-case hexadecimal
     * @return the customer, or empty if there is none
     */
    public Optional<Customer> customerOfKey(String keySha256) {
        return IndexedList.find(customers, BY_KEY, keySha256);
    }

    /**
     * Finds an upstream.
     *
     * @param name its name
     * @return the upstream, or empty if there is none
     */
    public Optional<Upstream> upstream(String name) {
        return IndexedList.find(upstreams, BY_NAME, name);
    }
}
