package org.dotterelcourse.daemon.limits;

import java.util.function.LongConsumer;

/** Whether a request is within its customer's budget. */
public sealed interface Charge {
    /**
     * It is, and its estimate was charged.
     *
     * @param settle to be told once how many tokens it used, of prompt and answer; 0 if it did not run
     */
    record Charged(LongConsumer settle) implements Charge {}

    /**
     * It is not.
     *
     * @param retryAfterNanos when it is worth asking again, from now
     */
    record OverBudget(long retryAfterNanos) implements Charge {}
}
