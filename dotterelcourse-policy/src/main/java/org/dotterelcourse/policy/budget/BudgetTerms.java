package org.dotterelcourse.policy.budget;

/**
 * What a customer may use.
 *
 * @param requestsPerSecond requests a second over time
 * @param requestBurst requests at once, at least 1
 * @param tokensPerSecond tokens a second over time, of prompts and answers
 * @param tokenBurst tokens at once
 */
public record BudgetTerms(double requestsPerSecond, double requestBurst, double tokensPerSecond, double tokenBurst) {}
