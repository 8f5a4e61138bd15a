package org.dotterelcourse.configuration;

import java.util.List;
import java.util.Optional;

/**
 * A checked configuration document: what is in force under one number.
 *
 * @param number the number that the platform published it under
 * @param digest SHA-256 of the canonical text, lower-case hexadecimal; equal for equal content
 * @param classes the request classes, sorted by name
 * @param customers the customers, sorted by name
 * @param upstreams the upstreams, sorted by name
 */
public record Configuration(
        long number, String digest, List<RequestClass> classes, List<Customer> customers, List<Upstream> upstreams) {
    /**
     * Finds a request class.
     *
     * @param name its name
     * @return the class, or empty if there is none
     */
    public Optional<RequestClass> requestClass(String name) {
        return classes.stream().filter(each -> each.name().equals(name)).findFirst();
    }

    /**
     * Finds the customer that a bearer key belongs to.
     *
     * @param keySha256 the SHA-256 of the key, lower-case hexadecimal
     * @return the customer, or empty if there is none
     */
    public Optional<Customer> customerOfKey(String keySha256) {
        return customers.stream()
                .filter(each -> each.keySha256().equals(keySha256))
                .findFirst();
    }

    /**
     * Finds an upstream.
     *
     * @param name its name
     * @return the upstream, or empty if there is none
     */
    public Optional<Upstream> upstream(String name) {
        return upstreams.stream().filter(each -> each.name().equals(name)).findFirst();
    }
}
