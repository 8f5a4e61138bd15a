package org.dotterelcourse.coordination.grant.measure;

/** What one request costs owner and asker together, from ask to release, codec included. */
final class CycleCost {
    private static final int WARM_UP = 200_000;
    private static final int CYCLES = 200_000;

    private CycleCost() {}

    static void print() {
        System.out.println("### Ask, grant and release of one request");
        System.out.println();
        System.out.println("Processor time of owner and asker together, with encoding and decoding, one thread.");
        System.out.println();
        System.out.println("| grants outstanding besides | microseconds | messages | bytes |");
        System.out.println("| ---: | ---: | ---: | ---: |");
        for (int outstanding : new int[] {0, 1_000, 10_000, 50_000}) {
            row(outstanding);
        }
        System.out.println();
    }

    private static void row(int outstanding) {
        Loop loop = new Loop(1);
        loop.takeOver("entry-1", Integer.MAX_VALUE);
        loop.settle();
        for (int i = 0; i < outstanding; i++) {
            loop.ask(0);
        }
        cycles(loop, WARM_UP);
        loop.resetCounters();
        long start = Cpu.nanos();
        cycles(loop, CYCLES);
        double micros = (Cpu.nanos() - start) / 1_000.0 / CYCLES;
        System.out.printf(
                "| %d | %.2f | %.1f | %.0f |%n",
                outstanding, micros, (double) loop.messages() / CYCLES, (double) loop.bytes() / CYCLES);
    }

    private static void cycles(Loop loop, int count) {
        for (int i = 0; i < count; i++) {
            loop.release(0, loop.ask(0));
        }
    }
}
