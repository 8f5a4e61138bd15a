package org.dotterelcourse.coordination.ticket;

import java.util.Optional;

import org.dotterelcourse.coordination.MemberId;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class TicketMinterTest {
    private static final MemberId SELF = new MemberId("entry-1", 3);
    private static final TicketSettings SETTINGS = new TicketSettings(100, 40, 30, 10, 10);
    private final TicketMinter minter = new TicketMinter(SELF, new byte[32], SETTINGS);
    private final TicketCoordinator coordinator = new TicketCoordinator(SELF, minter, SETTINGS);

    @Test
    void ticketIsSpentOnceAndDuplicatesGetOutcomeOfFirstCall() {
        String token = mintTicket("a", 0);
        TicketCoordinator.Started first = coordinator.spend(token, "a", 1);
        assertThat(verdict(first)).isInstanceOf(TicketVerdict.SpendNow.class);
        assertThat(verdict(coordinator.spend(token, "a", 2)))
                .isEqualTo(new TicketVerdict.AlreadySpent(Optional.empty()));

        TicketOutcome outcome = new TicketOutcome(TicketOutcome.Result.ANSWERED, new byte[] {7});
        coordinator.recordOutcome(first.request(), outcome, 3);

        assertThat(verdict(coordinator.spend(token, "a", 4)))
                .isEqualTo(new TicketVerdict.AlreadySpent(Optional.of(outcome)));
        assertThat(verdict(coordinator.burn(token, "a", 5)))
                .isEqualTo(new TicketVerdict.AlreadySpent(Optional.of(outcome)));
    }

    /**
     * Guards against a guessed or altered ticket, or that of another customer, being accepted. It would be spent on a
     * call that its rightful customer never made.
     */
    @Test
    void ticketOfAnotherCustomerOrAlteredTicketIsForged() {
        String token = mintTicket("a", 0);
        TicketToken parsed = TicketToken.parse(token).orElseThrow();
        String altered = new TicketToken(SELF, parsed.number() + 1, parsed.mac()).text();

        assertThat(verdict(coordinator.spend(token, "b", 1))).isInstanceOf(TicketVerdict.Forged.class);
        assertThat(verdict(coordinator.spend(altered, "a", 1))).isInstanceOf(TicketVerdict.Forged.class);
        assertThat(verdict(coordinator.spend("no ticket", "a", 1))).isInstanceOf(TicketVerdict.Forged.class);
        assertThat(verdict(coordinator.spend(token, "a", 1))).isInstanceOf(TicketVerdict.SpendNow.class);
    }

    /** Guards against the answer "not run" after the process that minted a ticket has restarted and lost its state. */
    @Test
    void ticketOfEarlierIncarnationIsUnknown() {
        MemberId later = new MemberId(SELF.name(), SELF.incarnation() + 1);
        TicketCoordinator restarted =
                new TicketCoordinator(later, new TicketMinter(later, new byte[32], SETTINGS), SETTINGS);

        assertThat(verdict(restarted.spend(mintTicket("a", 0), "a", 1)))
                .isEqualTo(new TicketVerdict.Unknown(TicketVerdict.Reason.EARLIER_LIFE));
    }

    /**
     * Guards against evicting unexpired tickets when callers request more than the limit. They must retry later
     * instead.
     */
    @Test
    void fullMinterRejectsUntilOldestTicketExpires() {
        String first = mintTicket("a", 0);
        for (int i = 1; i < 30; i++) {
            mintTicket("a", i);
        }
        assertThat(minter.mint("a", 40)).isEqualTo(new TicketMinter.MintResult.Full(60));
        for (int i = 0; i < 10; i++) {
            mintTicket("b", 50);
        }
        assertThat(minter.mint("c", 50)).isEqualTo(new TicketMinter.MintResult.Full(50));
        assertThat(verdict(coordinator.spend(first, "a", 99))).isInstanceOf(TicketVerdict.SpendNow.class);

        assertThat(minter.mint("c", 100)).isInstanceOf(TicketMinter.MintResult.Minted.class);
        assertThat(verdict(coordinator.spend(first, "a", 100))).isInstanceOf(TicketVerdict.Expired.class);
    }

    /**
     * Guards against accepting a late, wrong report "not run" of a daemon that does not hold the ticket, while another
     * daemon runs the call. The caller would get the answer "not run" for a call that runs.
     */
    @Test
    void onlyHolderOfTicketCanReportOutcome() {
        String token = mintTicket("a", 0);
        coordinator.onMessage("entry-3", new TicketMessage(1, 8, new TicketMessage.Spend(token, "a")), 1);
        TicketOutcome notRun = new TicketOutcome(TicketOutcome.Result.NOT_RUN, new byte[0]);

        coordinator.onMessage("entry-2", new TicketMessage(1, 8, new TicketMessage.Report(token, notRun)), 2);
        coordinator.onMessage("entry-3", new TicketMessage(2, 8, new TicketMessage.Report(token, notRun)), 3);
        assertThat(verdict(coordinator.spend(token, "a", 4)))
                .isEqualTo(new TicketVerdict.AlreadySpent(Optional.empty()));

        coordinator.onMessage("entry-3", new TicketMessage(1, 8, new TicketMessage.Report(token, notRun)), 5);
        assertThat(verdict(coordinator.spend(token, "a", 6))).isInstanceOf(TicketVerdict.Burned.class);
    }

    @Test
    void invalidBytesAreMalformed() {
        assertThat(TicketCodec.decode(new byte[] {(byte) 0xff, 1})).isInstanceOf(TicketCodec.Decoded.Malformed.class);
        assertThat(TicketCodec.decode(new byte[0])).isInstanceOf(TicketCodec.Decoded.Malformed.class);
    }

    /** Guards against running a call after its caller has burned the ticket because it got no answer. */
    @Test
    void burnedTicketIsNeverSpent() {
        String token = mintTicket("a", 0);

        assertThat(verdict(coordinator.burn(token, "a", 1))).isInstanceOf(TicketVerdict.Burned.class);
        assertThat(verdict(coordinator.spend(token, "a", 2))).isInstanceOf(TicketVerdict.Burned.class);
    }

    /**
     * Guards against running a call when the minter's permission arrives after the caller got the answer "unknown". The
     * call must not run, and the caller's next attempt must get the answer that it did not run.
     */
    @Test
    void latePermissionIsNotUsedAndTicketIsBurned() {
        TicketCoordinator forwarder = new TicketCoordinator(
                new MemberId("entry-3", 1),
                new TicketMinter(new MemberId("entry-3", 1), new byte[32], SETTINGS),
                SETTINGS);
        String token = mintTicket("a", 0);
        TicketEffect.Send spendRequest =
                (TicketEffect.Send) forwarder.spend(token, "a", 0).effects().get(0);
        TicketEffect.Send permission = (TicketEffect.Send)
                coordinator.onMessage("entry-3", spendRequest.message(), 5).get(0);

        var effects = forwarder.onMessage("entry-1", permission.message(), 50);

        assertThat(effects.get(0))
                .isEqualTo(new TicketEffect.Verdict(1, new TicketVerdict.Unknown(TicketVerdict.Reason.UNREACHABLE)));
        coordinator.onMessage("entry-3", ((TicketEffect.Send) effects.get(1)).message(), 51);
        assertThat(verdict(coordinator.spend(token, "a", 52))).isInstanceOf(TicketVerdict.Burned.class);
    }

    private String mintTicket(String customer, long nowNanos) {
        return ((TicketMinter.MintResult.Minted) minter.mint(customer, nowNanos)).token();
    }

    private static TicketVerdict verdict(TicketCoordinator.Started started) {
        return ((TicketEffect.Verdict) started.effects().get(0)).verdict();
    }
}
