package org.dotterelcourse.coordination.order;

/** What came of writing an order. */
public sealed interface OrderAnswer {
    /** The engine accepted it. */
    record Accepted() implements OrderAnswer {}

    /**
     * The engine has seen a higher fencing number.
     *
     * @param highest that number
     */
    record Fenced(Fence highest) implements OrderAnswer {}

    /** It failed, or may have failed; the reports will tell. */
    record Failed() implements OrderAnswer {}

    /** {@link OrderIssuer#mayWrite} said no, so that nothing was written. */
    record NotWritten() implements OrderAnswer {}
}
