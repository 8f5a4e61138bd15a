package org.dotterelcourse.daemon.limits;

import java.util.function.LongConsumer;

/** Result of charging a request to its customer's budget. */
public sealed interface Charge {
    /**
     * The request is within the budget and its estimated tokens were charged.
     *
     * @param settle must be called once with the number of prompt and answer tokens actually used; 0 if the request did not
     *     run
     */
    record Charged(LongConsumer settle) implements Charge {}

    /**
     * The request exceeds the budget and was not charged.
     *
     * @param retryAfterNanos time until a retry may succeed, in nanoseconds; 0 if unknown
     */
    record OverBudget(long retryAfterNanos) implements Charge {}
}
