package org.dotterelcourse.configuration;

/**
 * A class of requests that share an upstream, a priority, latency targets and queueing limits.
 *
 * @param name the class's name, unique in the document
 * @param upstream the name of the upstream that serves the class
 * @param model the model that serves the class, empty for a plain service
 * @param version the model's version, empty for a plain service
 * @param tier the priority, from 1 (highest) to 4 (lowest)
 * @param targetMillis the latency target in milliseconds from arrival to the first token (engine) or the complete
 *     response (plain service)
 * @param tokenIntervalMillis the target interval between output tokens in milliseconds, 0 for a plain service
 * @param idempotent whether requests may be executed more than once
 * @param lateIsUseless whether a response after the latency target has no value to the caller
 * @param minimumShare the fraction of a cell's capacity guaranteed to the class under any load, from 0 to 1
 * @param maxWaiting the maximum number of requests of the class queued in one cell
 * @param maxOutputTokens the maximum number of output tokens per response, 1 for a plain service
 */
public record RequestClass(
        String name,
        String upstream,
        String model,
        String version,
        int tier,
        long targetMillis,
        long tokenIntervalMillis,
        boolean idempotent,
        boolean lateIsUseless,
        double minimumShare,
        int maxWaiting,
        int maxOutputTokens) {
    /**
     * Creates a builder for a request class.
     *
     * @return a new builder
     */
    public static Builder builder() {
        return new Builder();
    }

    /** Builds a request class. Components that are not set keep their defaults; values are not validated. */
    public static final class Builder {
        private String name;
        private String upstream;
        private String model = "";
        private String version = "";
        private int tier = 1;
        private long targetMillis;
        private long tokenIntervalMillis;
        private boolean idempotent = true;
        private boolean lateIsUseless;
        private double minimumShare;
        private int maxWaiting = 1_000;
        private int maxOutputTokens = 1;

        private Builder() {}

        /**
         * Sets {@link RequestClass#name()}.
         *
         * @param value the class's name, unique in the document
         * @return this builder
         */
        public Builder name(String value) {
            name = value;
            return this;
        }

        /**
         * Sets {@link RequestClass#upstream()}.
         *
         * @param value the name of the upstream that serves the class
         * @return this builder
         */
        public Builder upstream(String value) {
            upstream = value;
            return this;
        }

        /**
         * Sets {@link RequestClass#model()}.
         *
         * @param value the model that serves the class, empty for a plain service
         * @return this builder
         */
        public Builder model(String value) {
            model = value;
            return this;
        }

        /**
         * Sets {@link RequestClass#version()}.
         *
         * @param value the model's version, empty for a plain service
         * @return this builder
         */
        public Builder version(String value) {
            version = value;
            return this;
        }

        /**
         * Sets {@link RequestClass#tier()}.
         *
         * @param value the priority, from 1 (highest) to 4 (lowest)
         * @return this builder
         */
        public Builder tier(int value) {
            tier = value;
            return this;
        }

        /**
         * Sets {@link RequestClass#targetMillis()}.
         *
         * @param value the latency target in milliseconds from arrival to the first token (engine) or the complete
         *     response (plain service)
         * @return this builder
         */
        public Builder targetMillis(long value) {
            targetMillis = value;
            return this;
        }

        /**
         * Sets {@link RequestClass#tokenIntervalMillis()}.
         *
         * @param value the target interval between output tokens in milliseconds, 0 for a plain service
         * @return this builder
         */
        public Builder tokenIntervalMillis(long value) {
            tokenIntervalMillis = value;
            return this;
        }

        /**
         * Sets {@link RequestClass#idempotent()}.
         *
         * @param value whether requests may be executed more than once
         * @return this builder
         */
        public Builder idempotent(boolean value) {
            idempotent = value;
            return this;
        }

        /**
         * Sets {@link RequestClass#lateIsUseless()}.
         *
         * @param value whether a response after the latency target has no value to the caller
         * @return this builder
         */
        public Builder lateIsUseless(boolean value) {
            lateIsUseless = value;
            return this;
        }

        /**
         * Sets {@link RequestClass#minimumShare()}.
         *
         * @param value the fraction of a cell's capacity guaranteed to the class under any load, from 0 to 1
         * @return this builder
         */
        public Builder minimumShare(double value) {
            minimumShare = value;
            return this;
        }

        /**
         * Sets {@link RequestClass#maxWaiting()}.
         *
         * @param value the maximum number of requests of the class queued in one cell
         * @return this builder
         */
        public Builder maxWaiting(int value) {
            maxWaiting = value;
            return this;
        }

        /**
         * Sets {@link RequestClass#maxOutputTokens()}.
         *
         * @param value the maximum number of output tokens per response, 1 for a plain service
         * @return this builder
         */
        public Builder maxOutputTokens(int value) {
            maxOutputTokens = value;
            return this;
        }

        /**
         * Builds the record from the values set so far, without validating them.
         *
         * @return the request class
         */
        public RequestClass build() {
            return new RequestClass(
                    name,
                    upstream,
                    model,
                    version,
                    tier,
                    targetMillis,
                    tokenIntervalMillis,
                    idempotent,
                    lateIsUseless,
                    minimumShare,
                    maxWaiting,
                    maxOutputTokens);
        }
    }
}
