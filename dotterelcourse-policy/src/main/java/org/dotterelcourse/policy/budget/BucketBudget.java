package org.dotterelcourse.policy.budget;

/**
 * Two token buckets, one of requests and one of tokens.
 *
 * <p>Answers the load pattern of a hot customer, before it reaches any queue. Without a budget of tokens, a customer who
 * keeps to its number of requests takes the cell with long ones. Lengths aren't known at entry: the estimate is taken
 * out, and the difference settled at the end. An answer longer than estimated leaves a debt, and nothing more is let in
 * until time has paid it; so over any time a customer uses no more than burst and rate allow, and what its requests in
 * flight run over their estimates.
 */
public final class BucketBudget implements CustomerBudget {
    private final TokenBucket requests;
    private final TokenBucket tokens;

    /**
     * Makes a budget with full buckets.
     *
     * @param terms what the customer may use
     * @param nowNanos the time
     */
    public BucketBudget(BudgetTerms terms, long nowNanos) {
        requests = new TokenBucket(terms.requestsPerSecond(), terms.requestBurst(), nowNanos);
        tokens = new TokenBucket(terms.tokensPerSecond(), terms.tokenBurst(), nowNanos);
    }

    @Override
    public BudgetDecision charge(double estimatedTokens, long nowNanos) {
        long wait = Math.max(requests.waitNanos(1, nowNanos), tokens.waitNanos(estimatedTokens, nowNanos));
        if (wait > 0) {
            return new BudgetDecision.OverBudget(wait);
        }
        requests.take(1);
        tokens.take(estimatedTokens);
        return new BudgetDecision.Charged(estimatedTokens);
    }

    @Override
    public void settle(BudgetDecision.Charged charged, double actualTokens, long nowNanos) {
        tokens.fill(nowNanos);
        double unused = charged.tokens() - actualTokens;
        if (unused >= 0) {
            tokens.giveBack(unused);
        } else {
            tokens.take(-unused);
        }
    }

    @Override
    public void terms(BudgetTerms terms, long nowNanos) {
        requests.terms(terms.requestsPerSecond(), terms.requestBurst(), nowNanos);
        tokens.terms(terms.tokensPerSecond(), terms.tokenBurst(), nowNanos);
    }
}
