package org.dotterelcourse.coordination.limit;

/**
 * Some requests and some tokens.
 *
 * @param requests how many requests
 * @param tokens how many tokens, of prompts and answers together
 */
public record Amount(long requests, long tokens) {
    /** Nothing. */
    public static final Amount NOTHING = new Amount(0, 0);

    Amount plus(Amount other) {
        return new Amount(requests + other.requests, tokens + other.tokens);
    }

    Amount minus(Amount other) {
        return new Amount(requests - other.requests, tokens - other.tokens);
    }

    boolean covers(Amount other) {
        return requests >= other.requests && tokens >= other.tokens;
    }

    Amount atLeastNothing() {
        return new Amount(Math.max(0, requests), Math.max(0, tokens));
    }

    Amount atMost(Amount other) {
        return new Amount(Math.min(requests, other.requests), Math.min(tokens, other.tokens));
    }

    boolean isNothing() {
        return requests == 0 && tokens == 0;
    }
}
