package org.dotterelcourse.gateway.published;

/** Turns items into what the router believes. */
public interface ItemDecoder {
    /**
     * An item was published, changed or deleted.
     *
     * @param item its newest state
     * @param nowNanos the time on the monotonic clock
     */
    void applyChange(PublishedItem item, long nowNanos);

    /**
     * Whether an item's deletion may be undone shortly after the store has come back.
     *
     * @param key the item's key
     * @return true for entries that their owners renew
     */
    boolean isLeased(String key);

    /** All items are known up to some revision. */
    void completeInitialLoad();
}
