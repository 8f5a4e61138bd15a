package org.dotterelcourse.gateway.published;

/**
 * News of one item.
 *
 * @param item its newest known state
 * @param doubtful whether it may only show that the store came back from a copy: the item is missing in the copy, or was
 *     deleted after the copy was made; its owner may write it again, or it may be gone soon
 */
public record ItemChange(PublishedItem item, boolean doubtful) {
    static ItemChange certain(PublishedItem item) {
        return new ItemChange(item, false);
    }
}
