package org.dotterelcourse.configuration;

/**
 * A request class: what a business asks for and what it was promised.
 *
 * @param name the class's name, unique in the document
 * @param upstream the upstream that serves it
 * @param model the model that serves it, empty for a plain service
 * @param version the model's version, empty for a plain service
 * @param tier 1 is the highest, 4 the lowest
 * @param targetMillis the target from arrival to the first token (engine) or the whole answer (plain service)
 * @param tokenIntervalMillis the target between tokens, 0 for a plain service
 * @param idempotent whether its requests may run more than once
 * @param lateIsUseless whether an answer after its target is worth nothing
 * @param minimumShare the fraction of a cell's work that it gets under any load, 0 to 1
 * @param maxWaiting how many of its requests may wait in one cell
 * @param maxOutputTokens the most tokens an answer may have, 1 for a plain service
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
     * Starts a request class.
     *
     * @return a builder
     */
    public static Builder builder() {
        return new Builder();
    }

    /** Builds a request class component by component; what is left out keeps its default. Checks nothing. */
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
         * @param value the upstream that serves it
         * @return this builder
         */
        public Builder upstream(String value) {
            upstream = value;
            return this;
        }

        /**
         * Sets {@link RequestClass#model()}.
         *
         * @param value the model that serves it, empty for a plain service
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
         * @param value 1 is the highest, 4 the lowest
         * @return this builder
         */
        public Builder tier(int value) {
            tier = value;
            return this;
        }

        /**
         * Sets {@link RequestClass#targetMillis()}.
         *
         * @param value the target from arrival to the first token (engine) or the whole answer (plain service)
         * @return this builder
         */
        public Builder targetMillis(long value) {
            targetMillis = value;
            return this;
        }

        /**
         * Sets {@link RequestClass#tokenIntervalMillis()}.
         *
         * @param value the target between tokens, 0 for a plain service
         * @return this builder
         */
        public Builder tokenIntervalMillis(long value) {
            tokenIntervalMillis = value;
            return this;
        }

        /**
         * Sets {@link RequestClass#idempotent()}.
         *
         * @param value whether its requests may run more than once
         * @return this builder
         */
        public Builder idempotent(boolean value) {
            idempotent = value;
            return this;
        }

        /**
         * Sets {@link RequestClass#lateIsUseless()}.
         *
         * @param value whether an answer after its target is worth nothing
         * @return this builder
         */
        public Builder lateIsUseless(boolean value) {
            lateIsUseless = value;
            return this;
        }

        /**
         * Sets {@link RequestClass#minimumShare()}.
         *
         * @param value the fraction of a cell's work that it gets under any load, 0 to 1
         * @return this builder
         */
        public Builder minimumShare(double value) {
            minimumShare = value;
            return this;
        }

        /**
         * Sets {@link RequestClass#maxWaiting()}.
         *
         * @param value how many of its requests may wait in one cell
         * @return this builder
         */
        public Builder maxWaiting(int value) {
            maxWaiting = value;
            return this;
        }

        /**
         * Sets {@link RequestClass#maxOutputTokens()}.
         *
         * @param value the most tokens an answer may have, 1 for a plain service
         * @return this builder
         */
        public Builder maxOutputTokens(int value) {
            maxOutputTokens = value;
            return this;
        }

        /**
         * Ends the building.
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
