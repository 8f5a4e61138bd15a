package org.dotterelcourse.coordination.grant.measure;

import org.dotterelcourse.coordination.MemberId;
import org.dotterelcourse.coordination.ticket.TicketDesk;
import org.dotterelcourse.coordination.ticket.TicketMint;
import org.dotterelcourse.coordination.ticket.TicketOutcome;
import org.dotterelcourse.coordination.ticket.TicketSettings;

/** What tickets keep alive in memory at their minter, and what minting and spending cost. */
final class TicketSize {
    private static final int[] SIZES = {10_000, 50_000, 100_000, 200_000};
    private static final MemberId SELF = new MemberId("entry-1", 1);
    private static final long LIFETIME = 300_000_000_000L;
    private static final TicketSettings SETTINGS =
            new TicketSettings(LIFETIME, 1_000_000, 1_000_000, 1_000_000_000L, 1_000_000);

    private TicketSize() {}

    static void print() {
        System.out.println("### Tickets");
        System.out.println();
        System.out.println("Heap after collection at the minter. Spent tickets have their outcome, without detail.");
        System.out.println();
        Heap.of(() -> minted(SIZES[0], true));
        System.out.println("| what | count | bytes each |");
        System.out.println("| --- | ---: | ---: |");
        for (int count : SIZES) {
            System.out.printf("| unspent | %d | %.0f |%n", count, (double) Heap.of(() -> minted(count, false)) / count);
        }
        for (int count : SIZES) {
            System.out.printf("| spent | %d | %.0f |%n", count, (double) Heap.of(() -> minted(count, true)) / count);
        }
        minted(SIZES[SIZES.length - 1], true);
        long start = Cpu.nanos();
        minted(SIZES[SIZES.length - 1], true);
        double micros = (Cpu.nanos() - start) / 1_000.0 / SIZES[SIZES.length - 1];
        System.out.println();
        System.out.printf("Minting, spending and reporting one ticket at its minter: %.1f microseconds.%n", micros);
    }

    private static TicketMint minted(int count, boolean spend) {
        TicketMint mint = new TicketMint(SELF, new byte[32], SETTINGS);
        TicketDesk desk = new TicketDesk(SELF, mint, SETTINGS);
        TicketOutcome answered = new TicketOutcome(TicketOutcome.Result.ANSWERED, new byte[0]);
        for (int i = 0; i < count; i++) {
            TicketMint.Minting.Minted minted = (TicketMint.Minting.Minted) mint.mint("customer", 0);
            if (spend) {
                desk.finished(desk.spend(minted.token(), "customer", 0).request(), answered, 0);
            }
        }
        return mint;
    }
}
