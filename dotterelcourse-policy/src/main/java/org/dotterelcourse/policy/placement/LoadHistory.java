package org.dotterelcourse.policy.placement;

import java.util.Arrays;

/**
 * How many of the cell's own grants a worker had at past times, so that an old report can be compared with what was
 * granted when it was true. Each slot keeps the most within a quarter of a second.
 */
final class LoadHistory {
    private static final long SLOT_NANOS = 250_000_000L;
    private static final int SLOTS = 80;

    /** Grants reach a worker, and leave it, some time after they are counted here; neighbours are looked at too. */
    private static final int NEIGHBOURS = 2;

    private final int[] most = new int[SLOTS];
    private final long[] slotOf = new long[SLOTS];

    LoadHistory() {
        Arrays.fill(slotOf, Long.MIN_VALUE);
    }

    void note(int running, long nowNanos) {
        long slot = Math.floorDiv(nowNanos, SLOT_NANOS);
        int index = (int) Math.floorMod(slot, (long) SLOTS);
        if (slotOf[index] == slot) {
            most[index] = Math.max(most[index], running);
        } else {
            slotOf[index] = slot;
            most[index] = running;
        }
    }

    /** The most grants around a past time, or -1 if that isn't known any more. */
    int mostAround(long thenNanos) {
        long middle = Math.floorDiv(thenNanos, SLOT_NANOS);
        int found = -1;
        for (long slot = middle - NEIGHBOURS; slot <= middle + NEIGHBOURS; slot++) {
            int index = (int) Math.floorMod(slot, (long) SLOTS);
            if (slotOf[index] == slot) {
                found = Math.max(found, most[index]);
            }
        }
        return found;
    }
}
