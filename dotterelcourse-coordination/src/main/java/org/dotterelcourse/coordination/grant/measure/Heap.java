package org.dotterelcourse.coordination.grant.measure;

import java.util.function.Supplier;

/** Measures the memory retained by an object, as the growth of the used heap after garbage collection. */
final class Heap {
    private static final int GC_RUNS = 4;

    private static Object retained;

    private Heap() {}

    /** Memory retained by the object that the supplier creates, in bytes. */
    static long retainedBytes(Supplier<Object> supplier) {
        retained = null;
        long before = usedBytes();
        retained = supplier.get();
        long after = usedBytes();
        retained = null;
        return after - before;
    }

    private static long usedBytes() {
        for (int i = 0; i < GC_RUNS; i++) {
            System.gc();
        }
        Runtime runtime = Runtime.getRuntime();
        return runtime.totalMemory() - runtime.freeMemory();
    }
}
