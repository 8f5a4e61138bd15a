package org.dotterelcourse.policy.estimate;

/**
 * Lengths in buckets of a quarter octave, where older ones count less. HdrHistogram neither forgets nor gives a mean of
 * what lies above a value without a walk over thousands of buckets, and both are needed on the way of each decision.
 *
 * <p>A bucket's width bounds the error of a length to a tenth. Forgetting is forward decay: a new value weighs more than
 * the last by a constant factor, and all weights are scaled down when they get large.
 */
final class DecayingHistogram {
    private static final int BUCKETS_PER_OCTAVE = 4;
    private static final int BUCKETS = 20 * BUCKETS_PER_OCTAVE;

    /** A value's weight falls to a half after about 350 later ones: an hour's change of habit is learned in minutes. */
    private static final double GROWTH = 1.002;

    private static final double LARGEST_WEIGHT = 1e12;

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
        nextWeight *= GROWTH;
        if (nextWeight > LARGEST_WEIGHT) {
            scale(1 / nextWeight);
        }
    }

    /** How many values like the newest the histogram is worth. */
    double count() {
        return totalWeight / nextWeight;
    }

    double mean() {
        return totalWeight == 0 ? 0 : totalSum / totalWeight;
    }

    /** The mean of what values above the given one have beyond it; 0 if there are none. */
    double meanBeyond(double value) {
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

    /** How many values above the given one the histogram is worth. */
    double countBeyond(double value) {
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
