package org.dotterelcourse.coordination.limit;

/**
 * A number of requests and a number of tokens, which are limited together.
 *
 * @param requests number of requests
 * @param tokens number of tokens, of prompts and answers together
 */
public record Amount(long requests, long tokens) {
    /** No requests and no tokens. */
    public static final Amount ZERO = new Amount(0, 0);

    Amount plus(Amount other) {
        return new Amount(requests + other.requests, tokens + other.tokens);
    }

    Amount minus(Amount other) {
        return new Amount(requests - other.requests, tokens - other.tokens);
    }

    boolean covers(Amount other) {
        return requests >= other.requests && tokens >= other.tokens;
    }

    Amount atLeastZero() {
        return new Amount(Math.max(0, requests), Math.max(0, tokens));
    }

    Amount atMost(Amount other) {
        return new Amount(Math.min(requests, other.requests), Math.min(tokens, other.tokens));
    }

    boolean isZero() {
        return requests == 0 && tokens == 0;
    }
}
