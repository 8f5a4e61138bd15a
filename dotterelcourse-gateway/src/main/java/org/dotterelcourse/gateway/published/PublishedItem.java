package org.dotterelcourse.gateway.published;

import java.util.Arrays;
import java.util.Objects;

/**
 * The latest known state of a published item.
 *
 * @param key its key
 * @param value its value; empty for a deleted item
 * @param revision revision of its last change
 * @param deleted whether that change deleted the item
 */
public record PublishedItem(String key, byte[] value, long revision, boolean deleted) {
    @Override
    public boolean equals(Object other) {
        return other instanceof PublishedItem item
                && key.equals(item.key)
                && Arrays.equals(value, item.value)
                && revision == item.revision
                && deleted == item.deleted;
    }

    @Override
    public int hashCode() {
        return Objects.hash(key, Arrays.hashCode(value), revision, deleted);
    }
}
