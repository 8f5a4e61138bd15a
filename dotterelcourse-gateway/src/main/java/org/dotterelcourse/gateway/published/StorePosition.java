package org.dotterelcourse.gateway.published;

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

    @Override
    public int compareTo(StorePosition other) {
        return era == other.era ? Long.compare(revision, other.revision) : Long.compare(era, other.era);
    }

    /* The generated methods of a record are linked when they are first called, which delays the start of a process. */
    @Override
    public boolean equals(Object other) {
        return other instanceof StorePosition that && era == that.era && revision == that.revision;
    }

    @Override
    public int hashCode() {
        return 31 * Long.hashCode(era) + Long.hashCode(revision);
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
