package org.dotterelcourse.policy.cell;

import java.util.Collections;
import java.util.EnumSet;
import java.util.Set;

/**
 * Parameters of a cell's scheduler. {@link #builder()} starts from the defaults; docs/POLICY.md gives the reasons for
 * them.
 *
 * @param maxWaiting capacity of the part of the queue that all classes share, in requests
 * @param guaranteedWaiting number of requests that each class with a minimum share may queue in addition to the shared
 *     capacity
 * @param defaultMinimumShare minimum share, as a fraction of the cell's work, of a class that has none configured, so
 *     that no class starves
 * @param prefillWeight cost of a prompt token, in output tokens
 * @param longJobFactor a request is long if its expected output exceeds the mean output of the cell by this factor
 * @param longJobShare fraction of a worker's capacity that long requests may occupy while other requests run
 * @param affinitySlack how much worse than the best worker, as a fraction, the worker that has the prompt prefix cached
 *     may be and still be chosen
 * @param batchSlowdown how much longer, as a fraction, a decoding step takes with a full batch than with an empty one
 * @param toleratedSlowFactor a worker that is slower than the median of the cell by less than this factor counts as
 *     normal
 * @param ejectionFactor a worker that is slower than the median of the cell by this factor is ejected
 * @param ejectionFailures number of consecutive failures after which a worker is ejected
 * @param maxEjectedFraction maximum fraction of the cell's workers that may be ejected at the same time
 * @param probeAfterNanos time in nanoseconds from the ejection of a worker to its first probe
 * @param maxReportAgeNanos age in nanoseconds from which a load report is ignored
 * @param disabledMechanisms the mechanisms that are disabled
 */
public record CellSettings(
        int maxWaiting,
        int guaranteedWaiting,
        double defaultMinimumShare,
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
        Set<Mechanism> disabledMechanisms) {
    /**
     * Creates a builder with the default values.
     *
     * @return the builder
     */
    public static Builder builder() {
        return new Builder();
    }

    /**
     * Whether a mechanism is enabled.
     *
     * @param mechanism the mechanism
     * @return whether the scheduler uses it
     */
    public boolean isEnabled(Mechanism mechanism) {
        return !disabledMechanisms.contains(mechanism);
    }

    /** Builds {@link CellSettings}. All setters return the builder itself. */
    public static final class Builder {
        private final Set<Mechanism> disabledMechanisms = EnumSet.noneOf(Mechanism.class);
        private int maxWaiting = 2_000;
        private int guaranteedWaiting = 8;
        private double defaultMinimumShare = 0.01;
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
         * Sets the capacity of the part of the queue that all classes share.
         *
         * @param requests maximum number of queued requests, at least 1
         * @return this builder
         */
        public Builder maxWaiting(int requests) {
            maxWaiting = requests;
            return this;
        }

        /**
         * Sets the queue capacity that is reserved for each class with a minimum share.
         *
         * @param requests number of requests that may be queued in addition to the shared capacity
         * @return this builder
         */
        public Builder guaranteedWaiting(int requests) {
            guaranteedWaiting = requests;
            return this;
        }

        /**
         * Sets the minimum share of classes that have none configured.
         *
         * @param share fraction of the cell's work, 0 to 1; with 0, such classes may starve
         * @return this builder
         */
        public Builder defaultMinimumShare(double share) {
            defaultMinimumShare = share;
            return this;
        }

        /**
         * Sets the cost of prompts.
         *
         * @param weight cost of a prompt token, in output tokens
         * @return this builder
         */
        public Builder prefillWeight(double weight) {
            prefillWeight = weight;
            return this;
        }

        /**
         * Sets which requests count as long and how much of a worker they may occupy.
         *
         * @param factor multiple of the mean output of the cell above which a request is long
         * @param share fraction of a worker's capacity, 0 to 1
         * @return this builder
         */
        public Builder longJobs(double factor, double share) {
            longJobFactor = factor;
            longJobShare = share;
            return this;
        }

        /**
         * Sets when a request is placed elsewhere although a worker has its prompt prefix cached.
         *
         * @param slack how much worse than the best worker that worker may be, as a fraction
         * @return this builder
         */
        public Builder affinitySlack(double slack) {
            affinitySlack = slack;
            return this;
        }

        /**
         * Sets how the duration of a decoding step grows with the batch size.
         *
         * @param slowdown how much longer, as a fraction, a step takes with a full batch than with an empty one
         * @return this builder
         */
        public Builder batchSlowdown(double slowdown) {
            batchSlowdown = slowdown;
            return this;
        }

        /**
         * Sets when a worker is ejected and when it is first probed afterwards.
         *
         * @param factor slow-down compared with the median of the cell
         * @param failures number of consecutive failures
         * @param probeDelayNanos time in nanoseconds from the ejection to the first probe
         * @return this builder
         */
        public Builder ejection(double factor, int failures, long probeDelayNanos) {
            ejectionFactor = factor;
            ejectionFailures = failures;
            probeAfterNanos = probeDelayNanos;
            return this;
        }

        /**
         * Disables a mechanism.
         *
         * @param mechanism the mechanism
         * @return this builder
         */
        public Builder disable(Mechanism mechanism) {
            disabledMechanisms.add(mechanism);
            return this;
        }

        /**
         * Builds the settings.
         *
         * @return the settings
         */
        public CellSettings build() {
            return new CellSettings(
                    maxWaiting,
                    guaranteedWaiting,
                    defaultMinimumShare,
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
                    Collections.unmodifiableSet(EnumSet.copyOf(disabledMechanisms)));
        }
    }
}
