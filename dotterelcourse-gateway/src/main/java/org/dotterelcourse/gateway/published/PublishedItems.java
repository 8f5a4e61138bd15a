package org.dotterelcourse.gateway.published;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The newest known state of every item, merged from reads, watches and peers. An item never goes back to an older
 * revision, whichever way and order news arrives in: a machine that was cut off or reads an old copy would otherwise
 * bring back a key that was revoked. Not safe for use by several threads.
 */
public final class PublishedItems {
    /** Deletions are kept so that a late copy of a deleted item is not taken for a new one. */
    private static final int MOST_DELETED = 4_096;

    private final Map<String, PublishedItem> items = new HashMap<>();
    private long revision;
    private int deletedCount;

    /**
     * The revision up to which everything is known.
     *
     * @return 0 before the first whole read
     */
    public long revision() {
        return revision;
    }

    /**
     * Merges changes that follow the known revision without a gap.
     *
     * @param changes the changes
     * @param upTo the revision up to which they are complete
     * @return those that were new
     */
    public List<PublishedItem> merge(List<PublishedItem> changes, long upTo) {
        List<PublishedItem> news = new ArrayList<>();
        for (PublishedItem change : changes) {
            if (put(change)) {
                news.add(change);
            }
        }
        revision = Math.max(revision, upTo);
        return news;
    }

    /**
     * Merges changes that may have a gap before them. Each is taken if it is news, but where some are missing, not
     * everything is known up to their revision.
     *
     * @param changes the changes
     * @param after the revision that they follow
     * @param upTo the revision up to which they are complete
     * @return those that were new
     */
    public List<PublishedItem> merge(List<PublishedItem> changes, long after, long upTo) {
        return merge(changes, after <= revision ? upTo : revision);
    }

    /**
     * Merges the whole state at a revision. What it lacks was deleted, unless it is newer than that revision.
     *
     * @param state all items
     * @param at the revision; the state is ignored if more is known already
     * @return what has changed, deletions included
     */
    public List<PublishedItem> replace(List<PublishedItem> state, long at) {
        if (at < revision) {
            return List.of();
        }
        Set<String> present = new HashSet<>();
        state.forEach(item -> present.add(item.key()));
        List<PublishedItem> changes = new ArrayList<>(state);
        for (PublishedItem known : items.values()) {
            if (!present.contains(known.key()) && !known.deleted() && known.revision() <= at) {
                changes.add(new PublishedItem(known.key(), new byte[0], Math.max(at, known.revision() + 1), true));
            }
        }
        return merge(changes, at);
    }

    /**
     * The items that exist.
     *
     * @return all that are not deleted
     */
    public List<PublishedItem> live() {
        return items.values().stream().filter(item -> !item.deleted()).toList();
    }

    private boolean put(PublishedItem change) {
        PublishedItem known = items.get(change.key());
        if (known != null && known.revision() >= change.revision()) {
            return false;
        }
        if (change.deleted() && (known == null || !known.deleted())) {
            deletedCount++;
        }
        if (known != null && known.deleted() && !change.deleted()) {
            deletedCount--;
        }
        items.put(change.key(), change);
        if (deletedCount > MOST_DELETED) {
            forgetOldestDeletions();
        }
        return known == null || !known.deleted() || !change.deleted();
    }

    private void forgetOldestDeletions() {
        long[] revisions = items.values().stream()
                .filter(PublishedItem::deleted)
                .mapToLong(PublishedItem::revision)
                .sorted()
                .toArray();
        long middle = revisions[revisions.length / 2];
        items.values().removeIf(item -> item.deleted() && item.revision() <= middle);
        deletedCount =
                (int) items.values().stream().filter(PublishedItem::deleted).count();
    }
}
