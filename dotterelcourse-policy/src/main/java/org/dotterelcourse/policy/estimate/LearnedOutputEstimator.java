package org.dotterelcourse.policy.estimate;

import java.util.LinkedHashMap;
import java.util.Map;

import org.dotterelcourse.policy.cell.ClassTerms;

/**
 * Learns answer lengths from decaying histograms, one per class and one per customer of a class.
 *
 * <p>Answers a load that mixes long jobs with short ones. Without it, a long summary is charged to its customer like a
 * short lookup, a worker full of summaries seems to have as much free capacity as one full of short answers, and long
 * jobs can't be told from short ones.
 *
 * <p>The estimate for a customer is blended with that for its class, and that for a class with an initial estimate. The
 * wider estimate weighs as much as {@value #PRIOR_SAMPLES} samples, so that it prevails as long as there are few. The
 * initial estimate is a quarter of the class's maximum answer length, because maxima are usually configured generously;
 * if it is too high, only the first few requests are overestimated.
 */
public final class LearnedOutputEstimator implements OutputEstimator {
    private static final double PRIOR_SAMPLES = 8;
    private static final double INITIAL_FRACTION = 0.25;

    /** Maximum number of histograms per map, of 1.3 kB each; the least recently used are evicted. */
    private static final int MAX_HISTOGRAMS = 4_096;

    private record Key(String className, String customer) {}

    private final Map<Key, DecayingHistogram> customers = new LinkedHashMap<>(64, 0.75f, true) {
        @Override
        protected boolean removeEldestEntry(Map.Entry<Key, DecayingHistogram> eldest) {
            return size() > MAX_HISTOGRAMS;
        }
    };

    private final Map<String, DecayingHistogram> classes = new LinkedHashMap<>(64, 0.75f, true) {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, DecayingHistogram> eldest) {
            return size() > MAX_HISTOGRAMS;
        }
    };

    private final DecayingHistogram allClasses = new DecayingHistogram();

    @Override
    public double remaining(ClassTerms terms, String customer, int generatedTokens) {
        double initial = Math.max(1, INITIAL_FRACTION * Math.max(0, terms.maxOutputTokens() - generatedTokens));
        double classEstimate = blend(classes.get(terms.name()), generatedTokens, initial);
        double customerEstimate = blend(customers.get(new Key(terms.name(), customer)), generatedTokens, classEstimate);
        return Math.max(1, customerEstimate);
    }

    @Override
    public double meanOutput() {
        return allClasses.mean();
    }

    @Override
    public void observe(ClassTerms terms, String customer, int tokens) {
        allClasses.add(tokens);
        classes.computeIfAbsent(terms.name(), name -> new DecayingHistogram()).add(tokens);
        customers
                .computeIfAbsent(new Key(terms.name(), customer), key -> new DecayingHistogram())
                .add(tokens);
    }

    private static double blend(DecayingHistogram histogram, int generatedTokens, double prior) {
        if (histogram == null) {
            return prior;
        }
        double samples = histogram.countAbove(generatedTokens);
        return (samples * histogram.meanExcess(generatedTokens) + PRIOR_SAMPLES * prior) / (samples + PRIOR_SAMPLES);
    }
}
