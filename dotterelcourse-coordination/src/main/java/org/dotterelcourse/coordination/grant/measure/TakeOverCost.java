package org.dotterelcourse.coordination.grant.measure;

import java.util.Arrays;

/** Measures the cost of a take-over, in which all clients register their grants with a new owner. */
final class TakeOverCost {
    private static final int WARM_UP_REPETITIONS = 5;
    private static final int REPETITIONS = 5;

    private TakeOverCost() {}

    static void print() {
        System.out.println("### Take-over");
        System.out.println();
        System.out.println("CPU time of the new owner and all clients until every grant is registered, in one thread;"
                + " median of " + REPETITIONS + ". A network adds one round trip.");
        System.out.println();
        System.out.println("| clients | outstanding grants | milliseconds | messages | kilobytes |");
        System.out.println("| ---: | ---: | ---: | ---: | ---: |");
        printRow(8, 100);
        printRow(8, 1_000);
        printRow(8, 10_000);
        printRow(64, 1_000);
        printRow(340, 1_000);
        printRow(340, 10_000);
        printRow(340, 100_000);
        System.out.println();
    }

    private static void printRow(int clients, int grants) {
        LoopbackCell cell = new LoopbackCell(clients);
        cell.takeOver("entry-0", Integer.MAX_VALUE);
        cell.settle();
        for (int i = 0; i < grants; i++) {
            cell.ask(i % clients);
        }
        double[] millis = new double[REPETITIONS];
        for (int i = -WARM_UP_REPETITIONS; i < REPETITIONS; i++) {
            cell.resetCounters();
            long start = Cpu.threadNanos();
            cell.takeOver("entry-" + (1 + i + WARM_UP_REPETITIONS), Integer.MAX_VALUE);
            if (i >= 0) {
                millis[i] = (Cpu.threadNanos() - start) / 1e6;
            }
            if (cell.owner().size() != grants) {
                throw new IllegalStateException(
                        cell.owner().size() + " grants were registered after the take-over, expected " + grants);
            }
        }
        Arrays.sort(millis);
        System.out.printf(
                "| %d | %d | %.2f | %d | %.1f |%n",
                clients, grants, millis[REPETITIONS / 2], cell.messages(), cell.bytes() / 1_000.0);
    }
}
