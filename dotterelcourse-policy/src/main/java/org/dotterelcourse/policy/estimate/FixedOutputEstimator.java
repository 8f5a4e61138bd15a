package org.dotterelcourse.policy.estimate;

import org.dotterelcourse.policy.cell.ClassTerms;

/** Estimates the same length for every answer; a baseline to measure the benefit of learned estimates. */
public final class FixedOutputEstimator implements OutputEstimator {
    private static final double ASSUMED_TOKENS = 256;

    @Override
    public double remaining(ClassTerms terms, String customer, int generatedTokens) {
        return Math.min(ASSUMED_TOKENS, terms.maxOutputTokens());
    }

    @Override
    public double meanOutput() {
        return ASSUMED_TOKENS;
    }

    @Override
    public void observe(ClassTerms terms, String customer, int tokens) {
        // The estimate is fixed.
    }
}
