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
 * The latest known state of every published item, merged from store reads and messages of peers. Within an era, an item
 * never returns to an older revision, regardless of the source and order of updates. Otherwise, a process that was
 * disconnected or reads a stale replica would restore a key that was revoked. Not thread-safe.
 */
public final class PublishedItems {
    /** Tombstones are kept so that a late message with a deleted item is not taken for a new item. */
    private static final int MAX_TOMBSTONES = 4_096;

    private final Map<String, PublishedItem> items = new HashMap<>();

    /** Revision that each deleted item had before its deletion, by key. */
    private final Map<String, Long> revisionsBeforeDeletion = new HashMap<>();

    private StorePosition position = StorePosition.NONE;

    /** Revision after which all deletions are known, those of items that were never known here included. */
    private long historyStart;

    private int tombstoneCount;

    /**
     * Returns the position up to which all changes are known.
     *
     * @return the position; {@link StorePosition#NONE} before the first complete read
     */
    public StorePosition position() {
        return position;
    }

    /**
     * Merges consecutive changes. If changes before them are missing, each newer item is still applied, but the
     * position does not advance. Changes that begin a new era are applied only if they directly follow the current
     * position; changes of an earlier era are ignored.
     *
     * @param changes the changed items
     * @param after position that the changes directly follow
     * @param upTo position up to which the changes are complete
     * @return the changes that were new
     */
    public List<ItemChange> merge(List<PublishedItem> changes, StorePosition after, StorePosition upTo) {
        if (upTo.era() != position.era()) {
            boolean isNext = upTo.isAfter(position) && after.equals(position);
            return isNext && !knowsItemsBeyondPosition() ? enterEra(changes, upTo) : List.of();
        }
        List<ItemChange> applied = applyNewer(changes);
        // Changes from an earlier era lack what was written and deleted between the eras' beginning and this position.
        if (after.era() == position.era() && !after.isAfter(position) && upTo.isAfter(position)) {
            position = upTo;
        }
        return applied;
    }

    /**
     * Merges a snapshot of the store. Known items that it does not contain are deleted, unless they are newer.
     *
     * @param snapshot all existing items
     * @param at position of the snapshot; it is ignored if a later position is known already
     * @return the changes, including deletions
     */
    public List<ItemChange> mergeSnapshot(List<PublishedItem> snapshot, StorePosition at) {
        if (position.isAfter(at)) {
            return List.of();
        }
        boolean sameEra = at.era() == position.era();
        Set<String> presentKeys = new HashSet<>();
        snapshot.forEach(item -> presentKeys.add(item.key()));
        List<PublishedItem> changes = new ArrayList<>(snapshot);
        for (PublishedItem current : items.values()) {
            if (!presentKeys.contains(current.key())
                    && !current.deleted()
                    && (!sameEra || current.revision() <= at.revision())) {
                long revision = sameEra ? Math.max(at.revision(), current.revision() + 1) : at.revision();
                changes.add(new PublishedItem(current.key(), new byte[0], revision, true));
            }
        }
        if (!sameEra) {
            return enterEra(changes, at);
        }
        position = at;
        historyStart = at.revision();
        return applyNewer(changes);
    }

    /**
     * Returns the existing items.
     *
     * @return all items that are not deleted, in no particular order
     */
    public List<PublishedItem> live() {
        return items.values().stream().filter(item -> !item.deleted()).toList();
    }

    /**
     * Returns the changes after a position, deletions included, for a process that has missed some.
     *
     * @param after position of that process
     * @return the changes up to {@link #position}; empty if it is in another era, or if deletions after it may be
     *     unknown here
     */
    public Optional<List<PublishedItem>> changesAfter(StorePosition after) {
        if (after.era() != position.era() || after.revision() < historyStart) {
            return Optional.empty();
        }
        return Optional.of(items.values().stream()
                .filter(item -> item.revision() > after.revision())
                .toList());
    }

    /**
     * Finds an existing item.
     *
     * @param key key of the item
     * @return the item, empty if it doesn't exist
     */
    public Optional<PublishedItem> find(String key) {
        return Optional.ofNullable(items.get(key)).filter(item -> !item.deleted());
    }

    /** Such items may be missing in the next era, which only a snapshot shows, but not the changes since the position. */
    private boolean knowsItemsBeyondPosition() {
        return items.values().stream().anyMatch(item -> item.revision() > position.revision());
    }

    private List<ItemChange> applyNewer(List<PublishedItem> changes) {
        List<ItemChange> applied = new ArrayList<>();
        for (PublishedItem change : changes) {
            if (putIfNewer(change)) {
                applied.add(ItemChange.certain(change));
            }
        }
        return applied;
    }

    /**
     * Enters a new era: unchanged items keep their values and get the revision of the new position, since revisions of
     * the previous era cannot be compared with later ones.
     */
    private List<ItemChange> enterEra(List<PublishedItem> changes, StorePosition at) {
        List<ItemChange> applied = new ArrayList<>();
        for (PublishedItem change : changes) {
            if (changesItem(change)) {
                applied.add(new ItemChange(change, isUncertain(change)));
            }
        }
        items.values().removeIf(PublishedItem::deleted);
        revisionsBeforeDeletion.clear();
        items.replaceAll((key, item) -> new PublishedItem(key, item.value(), at.revision(), false));
        changes.forEach(change -> items.put(change.key(), change));
        tombstoneCount = (int) changes.stream().filter(PublishedItem::deleted).count();
        position = at;
        historyStart = at.revision();
        return applied;
    }

    private boolean changesItem(PublishedItem change) {
        PublishedItem current = items.get(change.key());
        if (current == null || current.deleted()) {
            return !change.deleted();
        }
        return change.deleted() || !Arrays.equals(change.value(), current.value());
    }

    /**
     * Returns whether a change at the beginning of an era may be only an effect of the restore. An item that was
     * written again after the backup was made has a higher revision than before its deletion, so its change is certain.
     */
    private boolean isUncertain(PublishedItem change) {
        PublishedItem current = items.get(change.key());
        if (current == null) {
            return false;
        }
        return change.deleted()
                || current.deleted()
                        && change.revision() <= revisionsBeforeDeletion.getOrDefault(change.key(), current.revision());
    }

    private boolean putIfNewer(PublishedItem change) {
        PublishedItem current = items.get(change.key());
        if (current != null && current.revision() >= change.revision()) {
            return false;
        }
        boolean wasDeleted = current != null && current.deleted();
        tombstoneCount += (change.deleted() ? 1 : 0) - (wasDeleted ? 1 : 0);
        if (!change.deleted()) {
            revisionsBeforeDeletion.remove(change.key());
        } else if (current != null && !wasDeleted) {
            revisionsBeforeDeletion.put(change.key(), current.revision());
        }
        items.put(change.key(), change);
        if (tombstoneCount > MAX_TOMBSTONES) {
            evictOlderTombstones();
        }
        return current == null || !current.deleted() || !change.deleted();
    }

    private void evictOlderTombstones() {
        long[] revisions = items.values().stream()
                .filter(PublishedItem::deleted)
                .mapToLong(PublishedItem::revision)
                .sorted()
                .toArray();
        long medianRevision = revisions[revisions.length / 2];
        historyStart = Math.max(historyStart, medianRevision);
        items.values().removeIf(item -> item.deleted() && item.revision() <= medianRevision);
        revisionsBeforeDeletion.keySet().retainAll(items.keySet());
        tombstoneCount =
                (int) items.values().stream().filter(PublishedItem::deleted).count();
    }
}
