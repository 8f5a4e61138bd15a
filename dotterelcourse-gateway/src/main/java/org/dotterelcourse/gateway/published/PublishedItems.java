package org.dotterelcourse.gateway.published;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * The newest known state of every item, merged from reads, watches and peers. Within an era an item never goes back to an
 * older revision, whichever way and order news arrives in: a machine that was cut off or reads an old copy would otherwise
 * bring back a key that was revoked. Not safe for use by several threads.
 */
public final class PublishedItems {
    /** Deletions are kept so that a late copy of a deleted item is not taken for a new one. */
    private static final int MOST_DELETED = 4_096;

    private final Map<String, PublishedItem> items = new HashMap<>();

    /** Of deleted items, the revision of their last state before. */
    private final Map<String, Long> lastRevisions = new HashMap<>();

    private StorePosition position = StorePosition.NONE;
    private int deletedCount;

    /**
     * The position up to which everything is known.
     *
     * @return {@link StorePosition#NONE} before the first whole read
     */
    public StorePosition position() {
        return position;
    }

    /**
     * Merges changes that may have a gap before them. Each is taken if it is news, but where some are missing, not
     * everything is known up to their position. Changes that lead into a new era are taken only where what they follow is
     * what is known; those of an era before are not.
     *
     * @param changes the changes
     * @param after the position that they follow
     * @param upTo the position up to which they are complete
     * @return those that were new
     */
    public List<ItemChange> merge(List<PublishedItem> changes, StorePosition after, StorePosition upTo) {
        if (upTo.era() != position.era()) {
            return upTo.isAfter(position) && after.equals(position) ? enter(changes, upTo) : List.of();
        }
        List<ItemChange> news = take(changes);
        if (!after.isAfter(position) && upTo.isAfter(position)) {
            position = upTo;
        }
        return news;
    }

    /**
     * Merges the whole state at a position. What it lacks was deleted, unless it is newer.
     *
     * @param state all items
     * @param at the position; the state is ignored if more is known already
     * @return what has changed, deletions included
     */
    public List<ItemChange> replace(List<PublishedItem> state, StorePosition at) {
        if (position.isAfter(at)) {
            return List.of();
        }
        boolean sameEra = at.era() == position.era();
        Set<String> present = new HashSet<>();
        state.forEach(item -> present.add(item.key()));
        List<PublishedItem> changes = new ArrayList<>(state);
        for (PublishedItem known : items.values()) {
            if (!present.contains(known.key()) && !known.deleted() && (!sameEra || known.revision() <= at.revision())) {
                long revision = sameEra ? Math.max(at.revision(), known.revision() + 1) : at.revision();
                changes.add(new PublishedItem(known.key(), new byte[0], revision, true));
            }
        }
        if (!sameEra) {
            return enter(changes, at);
        }
        position = at;
        return take(changes);
    }

    /**
     * The items that exist.
     *
     * @return all that are not deleted
     */
    public List<PublishedItem> live() {
        return items.values().stream().filter(item -> !item.deleted()).toList();
    }

    /**
     * Finds an item.
     *
     * @param key its key
     * @return the item, empty if it doesn't exist
     */
    public Optional<PublishedItem> find(String key) {
        return Optional.ofNullable(items.get(key)).filter(item -> !item.deleted());
    }

    private List<ItemChange> take(List<PublishedItem> changes) {
        List<ItemChange> news = new ArrayList<>();
        for (PublishedItem change : changes) {
            if (put(change)) {
                news.add(ItemChange.certain(change));
            }
        }
        return news;
    }

    /** What is known at the end of an era holds at the new position, but for the changes. */
    private List<ItemChange> enter(List<PublishedItem> changes, StorePosition at) {
        List<ItemChange> news = new ArrayList<>();
        for (PublishedItem change : changes) {
            if (differs(change)) {
                news.add(new ItemChange(change, doubtful(change)));
            }
        }
        items.values().removeIf(PublishedItem::deleted);
        lastRevisions.clear();
        items.replaceAll((key, item) -> new PublishedItem(key, item.value(), at.revision(), false));
        changes.forEach(change -> items.put(change.key(), change));
        deletedCount = (int) changes.stream().filter(PublishedItem::deleted).count();
        position = at;
        return news;
    }

    private boolean differs(PublishedItem change) {
        PublishedItem known = items.get(change.key());
        if (known == null || known.deleted()) {
            return !change.deleted();
        }
        return change.deleted() || !Arrays.equals(change.value(), known.value());
    }

    /** An item that was written again after the copy was made bears a higher revision than it had before it was deleted. */
    private boolean doubtful(PublishedItem change) {
        PublishedItem known = items.get(change.key());
        if (known == null) {
            return false;
        }
        return change.deleted()
                || known.deleted() && change.revision() <= lastRevisions.getOrDefault(change.key(), known.revision());
    }

    private boolean put(PublishedItem change) {
        PublishedItem known = items.get(change.key());
        if (known != null && known.revision() >= change.revision()) {
            return false;
        }
        boolean knownDeleted = known != null && known.deleted();
        deletedCount += (change.deleted() ? 1 : 0) - (knownDeleted ? 1 : 0);
        if (!change.deleted()) {
            lastRevisions.remove(change.key());
        } else if (known != null && !knownDeleted) {
            lastRevisions.put(change.key(), known.revision());
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
        lastRevisions.keySet().retainAll(items.keySet());
        deletedCount =
                (int) items.values().stream().filter(PublishedItem::deleted).count();
    }
}
