package org.dotterelcourse.coordination.grant.measure;

import org.dotterelcourse.coordination.MemberId;
import org.dotterelcourse.coordination.ticket.TicketCoordinator;
import org.dotterelcourse.coordination.ticket.TicketMinter;
import org.dotterelcourse.coordination.ticket.TicketOutcome;
import org.dotterelcourse.coordination.ticket.TicketSettings;

/** Measures the memory retained by tickets at the daemon that minted them, and the cost of minting and spending one. */
final class TicketSize {
    private static final int[] SIZES = {10_000, 50_000, 100_000, 200_000};
    private static final MemberId SELF = new MemberId("entry-1", 1);
    private static final long LIFETIME_NANOS = 300_000_000_000L;
    private static final TicketSettings SETTINGS =
            new TicketSettings(LIFETIME_NANOS, 1_000_000, 1_000_000, 1_000_000_000L, 1_000_000);

    private TicketSize() {}

    static void print() {
        System.out.println("### Tickets");
        System.out.println();
        System.out.println(
                "Heap after garbage collection at the minter. Spent tickets include their outcome without detail.");
        System.out.println();
        Heap.retainedBytes(() -> mintTickets(SIZES[0], true));
        System.out.println("| state | count | bytes each |");
        System.out.println("| --- | ---: | ---: |");
        for (int count : SIZES) {
            System.out.printf(
                    "| unspent | %d | %.0f |%n",
                    count, (double) Heap.retainedBytes(() -> mintTickets(count, false)) / count);
        }
        for (int count : SIZES) {
            System.out.printf(
                    "| spent | %d | %.0f |%n",
                    count, (double) Heap.retainedBytes(() -> mintTickets(count, true)) / count);
        }
        mintTickets(SIZES[SIZES.length - 1], true);
        long start = Cpu.threadNanos();
        mintTickets(SIZES[SIZES.length - 1], true);
        double micros = (Cpu.threadNanos() - start) / 1_000.0 / SIZES[SIZES.length - 1];
        System.out.println();
        System.out.printf(
                "CPU time of minting, spending and reporting one ticket at its minter: %.1f microseconds.%n", micros);
    }

    private static TicketMinter mintTickets(int count, boolean spend) {
        TicketMinter mint = new TicketMinter(SELF, new byte[32], SETTINGS);
        TicketCoordinator desk = new TicketCoordinator(SELF, mint, SETTINGS);
        TicketOutcome answered = new TicketOutcome(TicketOutcome.Result.ANSWERED, new byte[0]);
        for (int i = 0; i < count; i++) {
            TicketMinter.MintResult.Minted minted = (TicketMinter.MintResult.Minted) mint.mint("customer", 0);
            if (spend) {
                desk.recordOutcome(desk.spend(minted.token(), "customer", 0).request(), answered, 0);
            }
        }
        return mint;
    }
}
