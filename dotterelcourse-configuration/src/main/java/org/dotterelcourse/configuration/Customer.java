package org.dotterelcourse.configuration;

import java.util.List;

/**
 * A customer: who may call, for what, and how much.
 *
 * @param name the customer's name, unique in the document
 * @param keySha256 the SHA-256 of its bearer key, lower-case hexadecimal
 * @param classes the classes it may use
 * @param defaultClass the class of a request that names none
 * @param requestsPerSecond its budget of requests over the whole fleet
 * @param tokensPerSecond its budget of input and output tokens over the whole fleet
 */
public record Customer(
        String name,
        String keySha256,
        List<String> classes,
        String defaultClass,
        double requestsPerSecond,
        double tokensPerSecond) {}
