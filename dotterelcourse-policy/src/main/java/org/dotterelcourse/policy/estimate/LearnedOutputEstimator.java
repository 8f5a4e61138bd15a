package org.dotterelcourse.policy.estimate;

import java.util.LinkedHashMap;
import java.util.Map;

import org.dotterelcourse.policy.cell.ClassTerms;

/**
 * Learns lengths from decaying histograms per class and per customer of a class.
 *
 * <p>Answers the load pattern of long jobs among short ones. Without it a prospectus summary costs its customer as much
 * of a share as a coupon date, a worker full of summaries looks as free as one full of short answers, and nobody can
 * tell which jobs are long.
 *
 * <p>Few values are blended with what is known of the wider group, as if {@value #PRIOR_COUNT} values had been seen
 * there: customer with class, class with a cold-start guess. The guess is a quarter of the class's longest answer:
 * classes are set up with room to spare, and a guess too high only makes the first few requests look heavy.
 */
public final class LearnedOutputEstimator implements OutputEstimator {
    private static final double PRIOR_COUNT = 8;
    private static final double COLD_START_FRACTION = 0.25;

    /** Histograms kept, the most recently used: 1.3 kB each. */
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

    private final DecayingHistogram all = new DecayingHistogram();

    @Override
    public double remaining(ClassTerms terms, String customer, int soFar) {
        double guess = Math.max(1, COLD_START_FRACTION * Math.max(0, terms.maxOutputTokens() - soFar));
        double ofClass = blend(classes.get(terms.name()), soFar, guess);
        double ofCustomer = blend(customers.get(new Key(terms.name(), customer)), soFar, ofClass);
        return Math.max(1, ofCustomer);
    }

    @Override
    public double meanOutput() {
        return all.mean();
    }

    @Override
    public void observe(ClassTerms terms, String customer, int tokens) {
        all.add(tokens);
        classes.computeIfAbsent(terms.name(), name -> new DecayingHistogram()).add(tokens);
        customers
                .computeIfAbsent(new Key(terms.name(), customer), key -> new DecayingHistogram())
                .add(tokens);
    }

    private static double blend(DecayingHistogram seen, int soFar, double wider) {
        if (seen == null) {
            return wider;
        }
        double count = seen.countBeyond(soFar);
        return (count * seen.meanBeyond(soFar) + PRIOR_COUNT * wider) / (count + PRIOR_COUNT);
    }
}
