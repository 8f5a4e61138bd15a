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
        double tokensPerSecond) {
    /** Keeps a copy of the list of classes. */
    public Customer {
        classes = List.copyOf(classes);
    }

    /**
     * Starts a customer.
     *
     * @return a builder
     */
    public static Builder builder() {
        return new Builder();
    }

    /** Builds a customer component by component; what is left out keeps its default. Checks nothing. */
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
         * @param value the SHA-256 of its bearer key, lower-case hexadecimal
         * @return this builder
         */
        public Builder keySha256(String value) {
            keySha256 = value;
            return this;
        }

        /**
         * Sets {@link Customer#classes()}.
         *
         * @param value the classes it may use
         * @return this builder
         */
        public Builder classes(List<String> value) {
            classes = value;
            return this;
        }

        /**
         * Sets {@link Customer#defaultClass()}.
         *
         * @param value the class of a request that names none
         * @return this builder
         */
        public Builder defaultClass(String value) {
            defaultClass = value;
            return this;
        }

        /**
         * Sets {@link Customer#requestsPerSecond()}.
         *
         * @param value its budget of requests over the whole fleet
         * @return this builder
         */
        public Builder requestsPerSecond(double value) {
            requestsPerSecond = value;
            return this;
        }

        /**
         * Sets {@link Customer#tokensPerSecond()}.
         *
         * @param value its budget of input and output tokens over the whole fleet
         * @return this builder
         */
        public Builder tokensPerSecond(double value) {
            tokensPerSecond = value;
            return this;
        }

        /**
         * Ends the building.
         *
         * @return the customer
         */
        public Customer build() {
            return new Customer(name, keySha256, classes, defaultClass, requestsPerSecond, tokensPerSecond);
        }
    }
}
