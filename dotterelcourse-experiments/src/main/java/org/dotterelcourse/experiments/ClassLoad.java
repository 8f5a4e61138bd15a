package org.dotterelcourse.experiments;

import org.dotterelcourse.policy.cell.ClassTerms;

/**
 * The requests of one class.
 *
 * @param terms the class's terms
 * @param perSecond requests a second
 * @param meanTokens mean length of an answer, in tokens
 * @param spread standard deviation of the logarithm of the length
 * @param inputTokens length of a prompt, in tokens
 * @param onceOnly the fraction of requests that are not idempotent
 */
record ClassLoad(
        ClassTerms terms, double perSecond, double meanTokens, double spread, int inputTokens, double onceOnly) {
    ClassLoad times(double factor) {
        return new ClassLoad(terms, perSecond * factor, meanTokens, spread, inputTokens, onceOnly);
    }
}
