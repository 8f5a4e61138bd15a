package org.dotterelcourse.coordination.order;

/** What an order tells an engine to do. Each is idempotent. */
public sealed interface OrderAction {
    /**
     * Load a model version from the weight store.
     *
     * @param version the version
     */
    record Load(ModelVersion version) implements OrderAction {}

    /**
     * Unload a model version.
     *
     * @param version the version
     */
    record Unload(ModelVersion version) implements OrderAction {}

    /**
     * Take another role.
     *
     * @param role the role's name
     */
    record Role(String role) implements OrderAction {}
}
