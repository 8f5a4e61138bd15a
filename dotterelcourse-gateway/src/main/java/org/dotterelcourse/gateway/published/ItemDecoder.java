package org.dotterelcourse.gateway.published;

/** Decodes published items and applies them to the state of the router. */
public interface ItemDecoder {
    /**
     * Applies an item that was published, changed or deleted.
     *
     * @param item the item after the change
     * @param nowNanos current monotonic time in nanoseconds
     */
    void applyChange(PublishedItem item, long nowNanos);

    /**
     * Returns whether an item is a lease, which expires unless its owner renews it. Owners write expired leases again
     * shortly after the store has recovered.
     *
     * @param key key of the item
     * @return true if the item is renewed by its owner
     */
    boolean isLeased(String key);

    /** Called once, when all items up to some position have been applied. */
    void completeInitialLoad();
}
