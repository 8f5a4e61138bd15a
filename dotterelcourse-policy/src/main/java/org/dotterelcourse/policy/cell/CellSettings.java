package org.dotterelcourse.policy.cell;

import java.util.Collections;
import java.util.EnumSet;
import java.util.Set;

/**
 * The figures of a cell's policy. {@link #builder()} starts from the defaults; docs/POLICY.md gives their grounds.
 *
 * @param maxWaiting how many requests may wait in the shared room of the queue
 * @param guaranteedWaiting how many requests of a class with a minimum share may wait beyond the shared room
 * @param leastShare the minimum share of a class that has none of its own, so that no class starves
 * @param prefillWeight work of a prompt token, in output tokens
 * @param longJobFactor a request is long when it expects so many times the mean output of the cell
 * @param longJobShare the fraction of a worker's room that long requests may hold while others run
 * @param affinitySlack how much worse than the best worker, as a fraction, the one with the prefix may be
 * @param batchSlowdown how much slower, as a fraction, a full batch steps than an empty one
 * @param toleratedSlowFactor a worker that is slower than the cell's median by less than this factor counts as normal
 * @param ejectionFactor a worker that is slower by this factor is ejected
 * @param ejectionFailures failures in a row that eject a worker
 * @param maxEjectedFraction the most of a cell's workers that may be ejected
 * @param probeAfterNanos how long an ejected worker rests before its first probe, in nanoseconds
 * @param maxReportAgeNanos the age from which a load report says nothing, in nanoseconds
 * @param off the mechanisms that are switched off
 */
public record CellSettings(
        int maxWaiting,
        int guaranteedWaiting,
        double leastShare,
        double prefillWeight,
        double longJobFactor,
        double longJobShare,
        double affinitySlack,
        double batchSlowdown,
        double toleratedSlowFactor,
        double ejectionFactor,
        int ejectionFailures,
        double maxEjectedFraction,
        long probeAfterNanos,
        long maxReportAgeNanos,
        Set<Mechanism> off) {
    /**
     * Starts from the defaults.
     *
     * @return a builder
     */
    public static Builder builder() {
        return new Builder();
    }

    /**
     * Whether a mechanism is in use.
     *
     * @param mechanism the mechanism
     * @return whether it is
     */
    public boolean isEnabled(Mechanism mechanism) {
        return !off.contains(mechanism);
    }

    /** Collects the figures of a {@link CellSettings}. */
    public static final class Builder {
        private final Set<Mechanism> off = EnumSet.noneOf(Mechanism.class);
        private int maxWaiting = 2_000;
        private int guaranteedWaiting = 8;
        private double leastShare = 0.01;
        private double prefillWeight = 0.05;
        private double longJobFactor = 4;
        private double longJobShare = 0.5;
        private double affinitySlack = 0.3;
        private double batchSlowdown = 1;
        private double ejectionFactor = 4;
        private int ejectionFailures = 3;
        private long probeAfterNanos = 5_000_000_000L;

        private Builder() {}

        /**
         * Sets the shared room of the queue.
         *
         * @param requests how many may wait, at least 1
         * @return this
         */
        public Builder maxWaiting(int requests) {
            maxWaiting = requests;
            return this;
        }

        /**
         * Sets the guaranteed room of a class with a minimum share.
         *
         * @param requests how many may wait beyond the shared room
         * @return this
         */
        public Builder guaranteedWaiting(int requests) {
            guaranteedWaiting = requests;
            return this;
        }

        /**
         * Sets the minimum share of classes that have none of their own.
         *
         * @param share fraction of the cell's work; with 0 such a class may starve
         * @return this
         */
        public Builder leastShare(double share) {
            leastShare = share;
            return this;
        }

        /**
         * Sets what prompts cost.
         *
         * @param weight work of a prompt token, in output tokens
         * @return this
         */
        public Builder prefillWeight(double weight) {
            prefillWeight = weight;
            return this;
        }

        /**
         * Sets which requests are long and how much of a worker they may hold.
         *
         * @param factor times the mean output of the cell
         * @param share fraction of a worker's room
         * @return this
         */
        public Builder longJobs(double factor, double share) {
            longJobFactor = factor;
            longJobShare = share;
            return this;
        }

        /**
         * Sets when a hot prefix leaves its worker.
         *
         * @param slack how much worse than the best, as a fraction
         * @return this
         */
        public Builder affinitySlack(double slack) {
            affinitySlack = slack;
            return this;
        }

        /**
         * Sets how the step of a worker grows with its batch.
         *
         * @param slowdown how much slower, as a fraction, a full batch steps than an empty one
         * @return this
         */
        public Builder batchSlowdown(double slowdown) {
            batchSlowdown = slowdown;
            return this;
        }

        /**
         * Sets when a worker is ejected, and for how long before its first probe.
         *
         * @param factor times slower than the cell's median
         * @param failures failures in a row
         * @param restNanos rest in nanoseconds
         * @return this
         */
        public Builder ejection(double factor, int failures, long restNanos) {
            ejectionFactor = factor;
            ejectionFailures = failures;
            probeAfterNanos = restNanos;
            return this;
        }

        /**
         * Switches a mechanism off.
         *
         * @param mechanism the mechanism
         * @return this
         */
        public Builder disable(Mechanism mechanism) {
            off.add(mechanism);
            return this;
        }

        /**
         * Makes the settings.
         *
         * @return the settings
         */
        public CellSettings build() {
            return new CellSettings(
                    maxWaiting,
                    guaranteedWaiting,
                    leastShare,
                    prefillWeight,
                    longJobFactor,
                    longJobShare,
                    affinitySlack,
                    batchSlowdown,
                    1.25,
                    ejectionFactor,
                    ejectionFailures,
                    1.0 / 3,
                    probeAfterNanos,
                    15_000_000_000L,
                    Collections.unmodifiableSet(EnumSet.copyOf(off)));
        }
    }
}
