package org.dotterelcourse.coordination.order;

import java.util.List;

/** An action requested by an {@link OrderIssuer}, to be carried out by the embedder. */
public sealed interface OrderEffect {
    /**
     * Stop sending new requests for a version to a worker, wait until the running ones have ended, then call
     * {@link OrderIssuer#completeDrain}.
     *
     * @param worker the worker's name
     * @param version the version to be unloaded
     */
    record Drain(String worker, ModelVersion version) implements OrderEffect {}

    /**
     * Send new requests for a version to a worker again, since its unload is no longer pending, for example because a
     * new configuration cancelled it or an engine rejected it.
     *
     * @param worker the worker's name
     * @param version the version of the preceding {@link Drain}
     */
    record Resume(String worker, ModelVersion version) implements OrderEffect {}

    /**
     * Send an order to an engine. Call {@link OrderIssuer#mayWrite} immediately before the order is written, and
     * {@link OrderIssuer#handleAnswer} afterwards.
     *
     * @param order the order to send
     */
    record Issue(Order order) implements OrderEffect {}

    /**
     * Report to the operators the workers that can't be changed without leaving too few workers that serve a model.
     * Emitted whenever the list changes.
     *
     * @param workers names of the blocked workers; empty when none is blocked any more
     */
    record Blocked(List<String> workers) implements OrderEffect {}
}
