package org.dotterelcourse.gateway.published;

import java.util.Arrays;
import java.util.Objects;

/**
 * One item as it was last published.
 *
 * @param key its key
 * @param value its bytes; empty for one that was deleted
 * @param revision the revision of its last change
 * @param deleted whether that change deleted it
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
