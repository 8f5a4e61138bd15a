package org.dotterelcourse.policy.estimate;

import org.dotterelcourse.policy.cell.ClassTerms;

/** Takes every answer for the same length; for measuring what learning is worth. */
public final class FixedOutputEstimator implements OutputEstimator {
    private static final double TOKENS = 256;

    @Override
    public double remaining(ClassTerms terms, String customer, int soFar) {
        return Math.min(TOKENS, terms.maxOutputTokens());
    }

    @Override
    public double meanOutput() {
        return TOKENS;
    }

    @Override
    public void observe(ClassTerms terms, String customer, int tokens) {
        // Nothing is learned.
    }
}
