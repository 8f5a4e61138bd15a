package org.dotterelcourse.coordination.order;

/** The change that an order requests from an engine. All actions are idempotent. */
public sealed interface OrderAction {
    /**
     * Load a model version from the weight store.
     *
     * @param version the version to load
     */
    record Load(ModelVersion version) implements OrderAction {}

    /**
     * Unload a model version.
     *
     * @param version the version to unload
     */
    record Unload(ModelVersion version) implements OrderAction {}

    /**
     * Switch to another role.
     *
     * @param role the name of the new role
     */
    record Role(String role) implements OrderAction {}
}
