package org.dotterelcourse.gateway.workers;

/** Counts the work of selecting workers since the start of the process. */
public final class SelectionCounters {
    private long selections;
    private long indexRebuilds;

    void recordSelection() {
        selections++;
    }

    void recordIndexRebuild() {
        indexRebuilds++;
    }

    /**
     * Returns how often candidates for a request were collected.
     *
     * @return the number since the start of the process
     */
    public long selections() {
        return selections;
    }

    /**
     * Returns how often the index of the eligible workers was rebuilt.
     *
     * @return the number since the start of the process
     */
    public long indexRebuilds() {
        return indexRebuilds;
    }
}
