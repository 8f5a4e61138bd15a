package org.dotterelcourse.configuration;

import java.util.List;

/**
 * A customer with its credentials, the request classes it may use and its rate limits.
 *
 * @param name the customer's name, unique in the document
 * @param keySha256 the SHA-256 of the bearer key as lower-case hexadecimal digits
 * @param classes the names of the request classes that the customer may use
 * @param defaultClass the request class used for requests that do not specify one
 * @param requestsPerSecond the rate limit across the whole fleet, in requests per second
 * @param tokensPerSecond the rate limit across the whole fleet, in input plus output tokens per second
 */
public record Customer(
        String name,
        String keySha256,
        List<String> classes,
        String defaultClass,
        double requestsPerSecond,
        double tokensPerSecond) {
    /** Copies the list of classes. */
    public Customer {
        classes = List.copyOf(classes);
    }

    /**
     * Creates a builder for a customer.
     *
     * @return a new builder
     */
    public static Builder builder() {
        return new Builder();
    }

    /** Builds a customer. Components that are not set keep their defaults; values are not validated. */
    public static final class Builder {
        private String name;
        private String keySha256;
        private List<String> classes = List.of();
        private String defaultClass;
        private double requestsPerSecond;
        private double tokensPerSecond;

        private Builder() {}

        /**
         * Sets {@link Customer#name()}.
         *
         * @param value the customer's name, unique in the document
         * @return this builder
         */
        public Builder name(String value) {
            name = value;
            return this;
        }

        /**
         * Sets {@link Customer#keySha256()}.
         *
         * @param value the SHA-256 of the bearer key as lower-case hexadecimal digits
         * @return this builder
         */
        public Builder keySha256(String value) {
            keySha256 = value;
            return this;
        }

        /**
         * Sets {@link Customer#classes()}.
         *
         * @param value the names of the request classes that the customer may use
         * @return this builder
         */
        public Builder classes(List<String> value) {
            classes = value;
            return this;
        }

        /**
         * Sets {@link Customer#defaultClass()}.
         *
         * @param value the request class used for requests that do not specify one
         * @return this builder
         */
        public Builder defaultClass(String value) {
            defaultClass = value;
            return this;
        }

        /**
         * Sets {@link Customer#requestsPerSecond()}.
         *
         * @param value the rate limit across the whole fleet, in requests per second
         * @return this builder
         */
        public Builder requestsPerSecond(double value) {
            requestsPerSecond = value;
            return this;
        }

        /**
         * Sets {@link Customer#tokensPerSecond()}.
         *
         * @param value the rate limit across the whole fleet, in input plus output tokens per second
         * @return this builder
         */
        public Builder tokensPerSecond(double value) {
            tokensPerSecond = value;
            return this;
        }

        /**
         * Builds the record from the values set so far, without validating them.
         *
         * @return the customer
         */
        public Customer build() {
            return new Customer(name, keySha256, classes, defaultClass, requestsPerSecond, tokensPerSecond);
        }
    }
}
