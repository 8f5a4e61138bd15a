package org.dotterelcourse.configuration;

import java.util.List;

/**
 * An upstream: a group of workers that serve the same models, or the same plain service.
 *
 * @param name the upstream's name, unique in the document
 * @param kind engine or plain service
 * @param region the region of its workers
 * @param fencing whether its workers reject an order with an outdated fencing number
 * @param concurrency the maximum number of requests that one worker processes concurrently
 * @param loadsPerMinute the maximum number of orders to load model weights from the weight store that are sent to its
 *     workers, per minute, 0 for a plain service
 * @param workers its workers
 */
public record Upstream(
        String name,
        Kind kind,
        String region,
        Fencing fencing,
        int concurrency,
        int loadsPerMinute,
        List<Worker> workers) {
    /**
     * Creates an upstream whose workers receive no orders to load model weights.
     *
     * @param name the upstream's name
     * @param kind engine or plain service
     * @param region the region of its workers
     * @param fencing whether its workers reject an order with an outdated fencing number
     * @param concurrency the maximum number of requests that one worker processes concurrently
     * @param workers its workers
     */
    public Upstream(String name, Kind kind, String region, Fencing fencing, int concurrency, List<Worker> workers) {
        this(name, kind, region, fencing, concurrency, 0, workers);
    }

    /** Copies the list of workers. */
    public Upstream {
        workers = List.copyOf(workers);
    }

    /** The type of the workers. */
    public enum Kind {
        /** Inference engines that serve language models. */
        ENGINE,
        /** Instances of a plain service without a model. */
        SERVICE
    }

    /** How a worker handles the fencing number of an order. */
    public enum Fencing {
        /** The worker rejects an order with a lower number than the highest it has seen. */
        CHECKED,
        /** The worker ignores the number. */
        IGNORED
    }

    /**
     * Creates a builder for an upstream.
     *
     * @return a new builder
     */
    public static Builder builder() {
        return new Builder();
    }

    /** Builds an upstream. Components that are not set keep their defaults; values are not validated. */
    public static final class Builder {
        private String name;
        private Kind kind = Kind.ENGINE;
        private String region;
        private Fencing fencing = Fencing.IGNORED;
        private int concurrency = 1;
        private int loadsPerMinute;
        private List<Worker> workers = List.of();

        private Builder() {}

        /**
         * Sets {@link Upstream#name()}.
         *
         * @param value the upstream's name, unique in the document
         * @return this builder
         */
        public Builder name(String value) {
            name = value;
            return this;
        }

        /**
         * Sets {@link Upstream#kind()}.
         *
         * @param value engine or plain service
         * @return this builder
         */
        public Builder kind(Kind value) {
            kind = value;
            return this;
        }

        /**
         * Sets {@link Upstream#region()}.
         *
         * @param value the region of its workers
         * @return this builder
         */
        public Builder region(String value) {
            region = value;
            return this;
        }

        /**
         * Sets {@link Upstream#fencing()}.
         *
         * @param value whether its workers reject an order with an outdated fencing number
         * @return this builder
         */
        public Builder fencing(Fencing value) {
            fencing = value;
            return this;
        }

        /**
         * Sets {@link Upstream#concurrency()}.
         *
         * @param value the maximum number of requests that one worker processes concurrently
         * @return this builder
         */
        public Builder concurrency(int value) {
            concurrency = value;
            return this;
        }

        /**
         * Sets {@link Upstream#loadsPerMinute()}.
         *
         * @param value the maximum number of orders to load model weights per minute, 0 for a plain service
         * @return this builder
         */
        public Builder loadsPerMinute(int value) {
            loadsPerMinute = value;
            return this;
        }

        /**
         * Sets {@link Upstream#workers()}.
         *
         * @param value its workers
         * @return this builder
         */
        public Builder workers(List<Worker> value) {
            workers = value;
            return this;
        }

        /**
         * Builds the record from the values set so far, without validating them.
         *
         * @return the upstream
         */
        public Upstream build() {
            return new Upstream(name, kind, region, fencing, concurrency, loadsPerMinute, workers);
        }
    }
}
