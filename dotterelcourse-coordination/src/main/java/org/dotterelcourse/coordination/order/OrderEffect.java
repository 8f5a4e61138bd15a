package org.dotterelcourse.coordination.order;

import java.util.List;

/** What the embedder of an {@link OrderIssuer} has to do. */
public sealed interface OrderEffect {
    /**
     * Stop sending new work for a version to a worker, let what runs there end, then call
     * {@link OrderIssuer#completeDrain}.
     *
     * @param worker the worker's name
     * @param version the version that will be unloaded
     */
    record Drain(String worker, ModelVersion version) implements OrderEffect {}

    /**
     * Send new work for a version to a worker again: it won't be unloaded after all.
     *
     * @param worker the worker's name
     * @param version the version
     */
    record Resume(String worker, ModelVersion version) implements OrderEffect {}

    /**
     * Send an order. Call {@link OrderIssuer#mayWrite} right before it is written, and
     * {@link OrderIssuer#handleAnswer} after.
     *
     * @param order the order
     */
    record Issue(Order order) implements OrderEffect {}

    /**
     * Tell the operators: these workers can't be changed without leaving too few serving copies. Given when the list
     * changes.
     *
     * @param workers their names; empty when none is blocked any more
     */
    record Blocked(List<String> workers) implements OrderEffect {}
}
