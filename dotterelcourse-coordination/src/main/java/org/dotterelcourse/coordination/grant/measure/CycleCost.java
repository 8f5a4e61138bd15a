package org.dotterelcourse.coordination.grant.measure;

/** Measures the cost of one request for owner and client together, from ask to release, including the codec. */
final class CycleCost {
    private static final int WARM_UP_CYCLES = 200_000;
    private static final int CYCLES = 200_000;

    private CycleCost() {}

    static void print() {
        System.out.println("### Ask, grant and release of one request");
        System.out.println();
        System.out.println("CPU time of owner and client together, including encoding and decoding, in one thread.");
        System.out.println();
        System.out.println("| other outstanding grants | microseconds | messages | bytes |");
        System.out.println("| ---: | ---: | ---: | ---: |");
        for (int otherGrants : new int[] {0, 1_000, 10_000, 50_000}) {
            printRow(otherGrants);
        }
        System.out.println();
    }

    private static void printRow(int otherGrants) {
        LoopbackCell cell = new LoopbackCell(1);
        cell.takeOver("entry-1", Integer.MAX_VALUE);
        cell.settle();
        for (int i = 0; i < otherGrants; i++) {
            cell.ask(0);
        }
        runCycles(cell, WARM_UP_CYCLES);
        cell.resetCounters();
        long start = Cpu.threadNanos();
        runCycles(cell, CYCLES);
        double micros = (Cpu.threadNanos() - start) / 1_000.0 / CYCLES;
        System.out.printf(
                "| %d | %.2f | %.1f | %.0f |%n",
                otherGrants, micros, (double) cell.messages() / CYCLES, (double) cell.bytes() / CYCLES);
    }

    private static void runCycles(LoopbackCell cell, int count) {
        for (int i = 0; i < count; i++) {
            cell.release(0, cell.ask(0));
        }
    }
}
