package org.dotterelcourse.coordination.limit;

import java.util.List;

/** Result of charging a call to its customer's budget with {@link LimitClient#charge}. */
public sealed interface ChargeResult {
    /**
     * The call is within the budget and has been charged.
     *
     * @param charged the amount charged, to be passed to {@link LimitClient#settle} when the call has ended
     * @param effects actions that the embedder must carry out
     */
    record Charged(Amount charged, List<LimitEffect> effects) implements ChargeResult {}

    /**
     * The call was not charged and waits for a slice from the customer's owner. The embedder must charge it again on
     * {@link LimitEffect.Refilled}.
     *
     * @param effects actions that the embedder must carry out
     */
    record AwaitingSlice(List<LimitEffect> effects) implements ChargeResult {}

    /**
     * The call exceeds the budget. It was not charged and must not run.
     *
     * @param retryAfterNanos nanoseconds from now until a retry can succeed
     */
    record OverBudget(long retryAfterNanos) implements ChargeResult {}

    /** No budget is set for the customer. The call was not charged. */
    record UnknownCustomer() implements ChargeResult {}
}
