package org.dotterelcourse.coordination.grant.measure;

/** What asks and grants keep alive in memory, and what renewing them costs on the wire. */
final class StateSize {
    private static final int[] SIZES = {10_000, 50_000, 100_000, 200_000};

    private StateSize() {}

    static void print() {
        System.out.println("### State of waiting asks and outstanding grants");
        System.out.println();
        System.out.println(
                "Heap after collection of owner with arbiter, and asker, together; terms of 120 bytes. Wire: a"
                        + " renewal and its answer, once a second.");
        System.out.println();
        Heap.of(() -> filled(SIZES[0], 0));
        System.out.println("| what | count | bytes each | slope, bytes each | renewal, bytes each |");
        System.out.println("| --- | ---: | ---: | ---: | ---: |");
        rows("waiting ask", 0);
        rows("outstanding grant", Integer.MAX_VALUE);
        System.out.println();
    }

    private static void rows(String what, int capacity) {
        long lastBytes = 0;
        int lastCount = 0;
        for (int count : SIZES) {
            long bytes = Heap.of(() -> filled(count, capacity));
            double slope = (double) (bytes - lastBytes) / (count - lastCount);
            System.out.printf(
                    "| %s | %d | %.0f | %s | %.1f |%n",
                    what,
                    count,
                    (double) bytes / count,
                    lastCount == 0 ? "" : String.format("%.0f", slope),
                    renewal(count, capacity));
            lastBytes = bytes;
            lastCount = count;
        }
    }

    private static double renewal(int count, int capacity) {
        Loop loop = filled(count, capacity);
        loop.resetCounters();
        loop.renew();
        return (double) loop.bytes() / count;
    }

    private static Loop filled(int count, int capacity) {
        Loop loop = new Loop(1);
        loop.takeOver("entry-1", capacity);
        loop.settle();
        for (int i = 0; i < count; i++) {
            loop.ask(0);
        }
        loop.resetCounters();
        return loop;
    }
}
