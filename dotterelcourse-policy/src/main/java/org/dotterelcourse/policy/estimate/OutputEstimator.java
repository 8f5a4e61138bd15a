package org.dotterelcourse.policy.estimate;

import org.dotterelcourse.policy.cell.ClassTerms;

/** Estimates the lengths of answers. Not safe for use by several threads at once. */
public interface OutputEstimator {
    /**
     * The expected remaining length of an answer.
     *
     * @param terms terms of the request's class
     * @param customer name of the customer
     * @param generatedTokens number of tokens generated so far
     * @return expected number of further tokens, at least 1
     */
    double remaining(ClassTerms terms, String customer, int generatedTokens);

    /**
     * The mean length of the answers of all classes.
     *
     * @return number of tokens; 0 if no answer has been observed yet
     */
    double meanOutput();

    /**
     * Records the length of a complete answer.
     *
     * @param terms terms of the request's class
     * @param customer name of the customer
     * @param tokens length of the answer in tokens
     */
    void observe(ClassTerms terms, String customer, int tokens);
}
