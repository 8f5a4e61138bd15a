package org.dotterelcourse.policy.estimate;

import org.dotterelcourse.policy.cell.ClassTerms;

/** Estimates how long answers get. Not safe for use by several threads at once. */
public interface OutputEstimator {
    /**
     * The expected rest of an answer.
     *
     * @param terms the class's terms
     * @param customer the customer's name
     * @param soFar tokens it has already
     * @return the mean number of tokens to come, at least 1
     */
    double remaining(ClassTerms terms, String customer, int soFar);

    /**
     * The mean length of all answers, whatever their class.
     *
     * @return tokens; 0 while none has been seen
     */
    double meanOutput();

    /**
     * Learns from a whole answer.
     *
     * @param terms the class's terms
     * @param customer the customer's name
     * @param tokens its length in tokens
     */
    void observe(ClassTerms terms, String customer, int tokens);
}
