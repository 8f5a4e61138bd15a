package org.dotterelcourse.coordination.grant.measure;

import java.util.Arrays;

/** What a take-over costs: all askers register everything with a new owner. */
final class TakeOverCost {
    private static final int WARM_UP = 5;
    private static final int TIMES = 5;

    private TakeOverCost() {}

    static void print() {
        System.out.println("### Take-over");
        System.out.println();
        System.out.println("Processor time of the new owner and all askers until every grant is registered, one thread;"
                + " median of " + TIMES + ". On the network one round trip is added.");
        System.out.println();
        System.out.println("| askers | outstanding grants | milliseconds | messages | kilobytes |");
        System.out.println("| ---: | ---: | ---: | ---: | ---: |");
        row(8, 100);
        row(8, 1_000);
        row(8, 10_000);
        row(64, 1_000);
        row(340, 1_000);
        row(340, 10_000);
        row(340, 100_000);
        System.out.println();
    }

    private static void row(int askers, int grants) {
        Loop loop = new Loop(askers);
        loop.takeOver("entry-0", Integer.MAX_VALUE);
        loop.settle();
        for (int i = 0; i < grants; i++) {
            loop.ask(i % askers);
        }
        double[] millis = new double[TIMES];
        for (int i = -WARM_UP; i < TIMES; i++) {
            loop.resetCounters();
            long start = Cpu.nanos();
            loop.takeOver("entry-" + (1 + i + WARM_UP), Integer.MAX_VALUE);
            if (i >= 0) {
                millis[i] = (Cpu.nanos() - start) / 1e6;
            }
            if (loop.owner().size() != grants) {
                throw new IllegalStateException(loop.owner().size() + " grants were registered, not " + grants);
            }
        }
        Arrays.sort(millis);
        System.out.printf(
                "| %d | %d | %.2f | %d | %.1f |%n",
                askers, grants, millis[TIMES / 2], loop.messages(), loop.bytes() / 1_000.0);
    }
}
