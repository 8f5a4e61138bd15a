package org.dotterelcourse.gateway.published;

import java.util.Comparator;

/**
 * A moment in the life of the platform's store. When the store comes back from a copy, what was written since the copy was
 * made is lost, its revisions are given out again, and a new era begins.
 *
 * @param era rises each time the store comes back from a copy; 0 of a store that doesn't tell
 * @param revision the number of the last change in that era
 */
public record StorePosition(long era, long revision) implements Comparable<StorePosition> {
    /** Before anything was read. */
    public static final StorePosition NONE = new StorePosition(0, 0);

    private static final Comparator<StorePosition> ORDER =
            Comparator.comparingLong(StorePosition::era).thenComparingLong(StorePosition::revision);

    @Override
    public int compareTo(StorePosition other) {
        return ORDER.compare(this, other);
    }

    /**
     * Whether this is later than another one.
     *
     * @param other the other one
     * @return false if both are the same
     */
    public boolean isAfter(StorePosition other) {
        return compareTo(other) > 0;
    }

    @Override
    public String toString() {
        return "revision " + revision + " of era " + era;
    }
}
