package org.dotterelcourse.policy.estimate;

/**
 * A histogram of lengths with exponential decay per value, in buckets of a quarter octave. HdrHistogram supports no
 * decay, and needs a pass over thousands of buckets for the mean of the values above a bound; both are needed for each
 * scheduling decision.
 *
 * <p>The bucket width limits the error of a length to a tenth. Decay is implemented as forward decay: each value weighs
 * more than the previous one by a constant factor, and all weights are scaled down when they get large.
 */
final class DecayingHistogram {
    private static final int BUCKETS_PER_OCTAVE = 4;
    private static final int BUCKETS = 20 * BUCKETS_PER_OCTAVE;

    /**
     * Weight of a value relative to the previous one. The relative weight of a value halves after about 350 further
     * values, so that a change that lasts an hour is learned within minutes.
     */
    private static final double WEIGHT_GROWTH = 1.002;

    private static final double MAX_WEIGHT = 1e12;

    private final double[] weights = new double[BUCKETS];
    private final double[] sums = new double[BUCKETS];
    private double totalWeight;
    private double totalSum;
    private double nextWeight = 1;

    void add(double value) {
        int bucket = bucket(value);
        weights[bucket] += nextWeight;
        sums[bucket] += nextWeight * value;
        totalWeight += nextWeight;
        totalSum += nextWeight * value;
        nextWeight *= WEIGHT_GROWTH;
        if (nextWeight > MAX_WEIGHT) {
            scale(1 / nextWeight);
        }
    }

    /** Total weight of all values, relative to that of the newest value. */
    double count() {
        return totalWeight / nextWeight;
    }

    double mean() {
        return totalWeight == 0 ? 0 : totalSum / totalWeight;
    }

    /** Mean excess over the given value, of the values in higher buckets; 0 if there are none. */
    double meanExcess(double value) {
        if (value <= 0) {
            return mean();
        }
        double weight = 0;
        double sum = 0;
        for (int i = bucket(value) + 1; i < BUCKETS; i++) {
            weight += weights[i];
            sum += sums[i];
        }
        return weight == 0 ? 0 : sum / weight - value;
    }

    /** Total weight of the values in higher buckets than the given value, relative to that of the newest value. */
    double countAbove(double value) {
        if (value <= 0) {
            return count();
        }
        double weight = 0;
        for (int i = bucket(value) + 1; i < BUCKETS; i++) {
            weight += weights[i];
        }
        return weight / nextWeight;
    }

    private void scale(double factor) {
        for (int i = 0; i < BUCKETS; i++) {
            weights[i] *= factor;
            sums[i] *= factor;
        }
        totalWeight *= factor;
        totalSum *= factor;
        nextWeight *= factor;
    }

    private static int bucket(double value) {
        double octaves = Math.log(Math.max(1, value)) / Math.log(2);
        return Math.min(BUCKETS - 1, (int) (octaves * BUCKETS_PER_OCTAVE));
    }
}
