package org.dotterelcourse.gateway.published;

import java.util.Comparator;

/**
 * A position in the history of the platform's store. If the store is restored from a backup, writes since the backup
 * are lost, their revisions are assigned again, and a new era begins.
 *
 * @param era number that increases with each restore from a backup; 0 if the store does not report it
 * @param revision number of the last change in that era
 */
public record StorePosition(long era, long revision) implements Comparable<StorePosition> {
    /** The position before the first read. */
    public static final StorePosition NONE = new StorePosition(0, 0);

    private static final Comparator<StorePosition> ORDER =
            Comparator.comparingLong(StorePosition::era).thenComparingLong(StorePosition::revision);

    @Override
    public int compareTo(StorePosition other) {
        return ORDER.compare(this, other);
    }

    /**
     * Returns whether this position is later than another one.
     *
     * @param other the other position
     * @return false if both are equal
     */
    public boolean isAfter(StorePosition other) {
        return compareTo(other) > 0;
    }

    @Override
    public String toString() {
        return "revision " + revision + " of era " + era;
    }
}
