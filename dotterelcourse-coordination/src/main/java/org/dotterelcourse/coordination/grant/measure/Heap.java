package org.dotterelcourse.coordination.grant.measure;

import java.util.function.Supplier;

/** Measures the memory that an object keeps alive, as the growth of the heap in use after collection. */
final class Heap {
    private static final int COLLECTIONS = 4;

    private static Object kept;

    private Heap() {}

    /** Bytes that what the supplier makes keeps alive. */
    static long of(Supplier<Object> supplier) {
        kept = null;
        long before = used();
        kept = supplier.get();
        long after = used();
        kept = null;
        return after - before;
    }

    private static long used() {
        for (int i = 0; i < COLLECTIONS; i++) {
            System.gc();
        }
        Runtime runtime = Runtime.getRuntime();
        return runtime.totalMemory() - runtime.freeMemory();
    }
}
