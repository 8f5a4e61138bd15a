package org.dotterelcourse.coordination.order;

/** The outcome of writing an order to an engine. */
public sealed interface OrderAnswer {
    /** The engine accepted it. */
    record Accepted() implements OrderAnswer {}

    /**
     * The engine rejected the order, because it has received a higher fencing token.
     *
     * @param highest the highest fencing token that the engine has received
     */
    record Fenced(Fence highest) implements OrderAnswer {}

    /** The order failed, or its outcome is unknown. Later state reports show whether it took effect. */
    record Failed() implements OrderAnswer {}

    /** Nothing was written, for example because {@link OrderIssuer#mayWrite} returned false. */
    record NotWritten() implements OrderAnswer {}
}
