package org.dotterelcourse.coordination.limit;

import java.util.List;

/** Whether a call is within its customer's budget. */
public sealed interface ChargeResult {
    /**
     * It is, and has been charged.
     *
     * @param charged what was charged; to be passed to {@link LimitClient#settle} when the call has ended
     * @param effects what to do
     */
    record Charged(Amount charged, List<LimitEffect> effects) implements ChargeResult {}

    /**
     * The home has been asked. Try again at {@link LimitEffect.Refilled}.
     *
     * @param effects what to do
     */
    record AwaitingSlice(List<LimitEffect> effects) implements ChargeResult {}

    /**
     * It is not. It has not been charged and is not to be run.
     *
     * @param retryAfterNanos when it is worth trying again, from now
     */
    record OverBudget(long retryAfterNanos) implements ChargeResult {}

    /** The customer has no budget here. */
    record UnknownCustomer() implements ChargeResult {}
}
