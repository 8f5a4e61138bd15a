package org.dotterelcourse.configuration;

import java.util.List;

/**
 * An upstream: a group of workers that serve the same models, or the same plain service.
 *
 * @param name the upstream's name, unique in the document
 * @param kind engine or plain service
 * @param region the region its workers stand in
 * @param fencing whether its workers refuse an order that carries an old fencing number
 * @param concurrency how many requests one worker may run at once
 * @param loadsPerMinute how many orders to load from the weight store its workers may be given a minute, 0 for a plain
 *     service
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
     * An upstream that is given no orders to load.
     *
     * @param name the upstream's name
     * @param kind engine or plain service
     * @param region the region its workers stand in
     * @param fencing whether its workers refuse an order that carries an old fencing number
     * @param concurrency how many requests one worker may run at once
     * @param workers its workers
     */
    public Upstream(String name, Kind kind, String region, Fencing fencing, int concurrency, List<Worker> workers) {
        this(name, kind, region, fencing, concurrency, 0, workers);
    }

    /** Keeps a copy of the list of workers. */
    public Upstream {
        workers = List.copyOf(workers);
    }

    /** What the workers are. */
    public enum Kind {
        /** A model engine. */
        ENGINE,
        /** A plain service. */
        SERVICE
    }

    /** What a worker does with an order's fencing number. */
    public enum Fencing {
        /** It refuses an order whose number is lower than one it has seen. */
        CHECKED,
        /** It ignores the number. */
        IGNORED
    }

    /**
     * Starts an upstream.
     *
     * @return a builder
     */
    public static Builder builder() {
        return new Builder();
    }

    /** Builds an upstream component by component; what is left out keeps its default. Checks nothing. */
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
         * @param value the region its workers stand in
         * @return this builder
         */
        public Builder region(String value) {
            region = value;
            return this;
        }

        /**
         * Sets {@link Upstream#fencing()}.
         *
         * @param value whether its workers refuse an order that carries an old fencing number
         * @return this builder
         */
        public Builder fencing(Fencing value) {
            fencing = value;
            return this;
        }

        /**
         * Sets {@link Upstream#concurrency()}.
         *
         * @param value how many requests one worker may run at once
         * @return this builder
         */
        public Builder concurrency(int value) {
            concurrency = value;
            return this;
        }

        /**
         * Sets {@link Upstream#loadsPerMinute()}.
         *
         * @param value how many orders to load from the weight store its workers may be given a minute, 0 for a plain service
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
         * Ends the building.
         *
         * @return the upstream
         */
        public Upstream build() {
            return new Upstream(name, kind, region, fencing, concurrency, loadsPerMinute, workers);
        }
    }
}
