package org.dotterelcourse.gateway.published;

/**
 * A change of one item.
 *
 * @param item the item after the change
 * @param uncertain whether the change may be only an effect of restoring the store from a backup: either the item is
 *     missing from the backup, and its owner may write it again, or it was deleted after the backup was made, and may
 *     expire soon
 */
public record ItemChange(PublishedItem item, boolean uncertain) {
    static ItemChange certain(PublishedItem item) {
        return new ItemChange(item, false);
    }
}
