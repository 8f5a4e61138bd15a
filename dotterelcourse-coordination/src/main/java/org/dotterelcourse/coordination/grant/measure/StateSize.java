package org.dotterelcourse.coordination.grant.measure;

/** Measures the memory retained by asks and grants, and the bytes that their renewals send. */
final class StateSize {
    private static final int[] SIZES = {10_000, 50_000, 100_000, 200_000};

    private StateSize() {}

    static void print() {
        System.out.println("### State of waiting asks and outstanding grants");
        System.out.println();
        System.out.println(
                "Heap after garbage collection of owner, arbiter and client together; terms of 120 bytes. Bytes sent: a"
                        + " renewal and its answer, once a second.");
        System.out.println();
        Heap.retainedBytes(() -> filledCell(SIZES[0], 0));
        System.out.println("| state | count | bytes each | slope, bytes each | renewal, bytes each |");
        System.out.println("| --- | ---: | ---: | ---: | ---: |");
        printRows("waiting ask", 0);
        printRows("outstanding grant", Integer.MAX_VALUE);
        System.out.println();
    }

    private static void printRows(String kind, int capacity) {
        long lastBytes = 0;
        int lastCount = 0;
        for (int count : SIZES) {
            long bytes = Heap.retainedBytes(() -> filledCell(count, capacity));
            double slope = (double) (bytes - lastBytes) / (count - lastCount);
            System.out.printf(
                    "| %s | %d | %.0f | %s | %.1f |%n",
                    kind,
                    count,
                    (double) bytes / count,
                    lastCount == 0 ? "" : String.format("%.0f", slope),
                    renewalBytes(count, capacity));
            lastBytes = bytes;
            lastCount = count;
        }
    }

    private static double renewalBytes(int count, int capacity) {
        LoopbackCell cell = filledCell(count, capacity);
        cell.resetCounters();
        cell.renew();
        return (double) cell.bytes() / count;
    }

    private static LoopbackCell filledCell(int count, int capacity) {
        LoopbackCell cell = new LoopbackCell(1);
        cell.takeOver("entry-1", capacity);
        cell.settle();
        for (int i = 0; i < count; i++) {
            cell.ask(0);
        }
        cell.resetCounters();
        return cell;
    }
}
