package org.dotterelcourse.coordination.ticket;

import java.util.Optional;

import org.dotterelcourse.coordination.MemberId;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class TicketMinterTest {
    private static final MemberId SELF = new MemberId("entry-1", 3);
    private static final TicketSettings SETTINGS = new TicketSettings(100, 40, 30, 10, 10);
    private final TicketMinter mint = new TicketMinter(SELF, new byte[32], SETTINGS);
    private final TicketCoordinator desk = new TicketCoordinator(SELF, mint, SETTINGS);

    @Test
    void aTicketIsSpentOnceAndDuplicatesGetTheFirstOutcome() {
        String token = minted("a", 0);
        TicketCoordinator.Started first = desk.spend(token, "a", 1);
        assertThat(verdict(first)).isInstanceOf(TicketVerdict.SpendNow.class);
        assertThat(verdict(desk.spend(token, "a", 2))).isEqualTo(new TicketVerdict.AlreadySpent(Optional.empty()));

        TicketOutcome outcome = new TicketOutcome(TicketOutcome.Result.ANSWERED, new byte[] {7});
        desk.recordOutcome(first.request(), outcome, 3);

        assertThat(verdict(desk.spend(token, "a", 4))).isEqualTo(new TicketVerdict.AlreadySpent(Optional.of(outcome)));
        assertThat(verdict(desk.burn(token, "a", 5))).isEqualTo(new TicketVerdict.AlreadySpent(Optional.of(outcome)));
    }

    /**
     * Somebody guesses or alters a ticket, or one customer uses another's. Without the check, it would be spent on a
     * call that its owner never made.
     */
    @Test
    void aTicketOfAnotherCustomerOrAnAlteredOneIsForged() {
        String token = minted("a", 0);
        TicketToken parsed = TicketToken.parse(token).orElseThrow();
        String altered = new TicketToken(SELF, parsed.number() + 1, parsed.mac()).text();

        assertThat(verdict(desk.spend(token, "b", 1))).isInstanceOf(TicketVerdict.Forged.class);
        assertThat(verdict(desk.spend(altered, "a", 1))).isInstanceOf(TicketVerdict.Forged.class);
        assertThat(verdict(desk.spend("no ticket", "a", 1))).isInstanceOf(TicketVerdict.Forged.class);
        assertThat(verdict(desk.spend(token, "a", 1))).isInstanceOf(TicketVerdict.SpendNow.class);
    }

    /** The process that minted a ticket restarted and remembers nothing. The caller must not hear "not run". */
    @Test
    void aTicketOfAnEarlierLifeIsUnknown() {
        MemberId later = new MemberId(SELF.name(), SELF.incarnation() + 1);
        TicketCoordinator restarted = new TicketCoordinator(later, new TicketMinter(later, new byte[32], SETTINGS), SETTINGS);

        assertThat(verdict(restarted.spend(minted("a", 0), "a", 1)))
                .isEqualTo(new TicketVerdict.Unknown(TicketVerdict.Reason.EARLIER_LIFE));
    }

    /** Callers take more tickets than can be remembered. They are told to come back; no ticket is forgotten early. */
    @Test
    void aFullMintRefusesUntilTheOldestTicketExpires() {
        String first = minted("a", 0);
        for (int i = 1; i < 30; i++) {
            minted("a", i);
        }
        assertThat(mint.mint("a", 40)).isEqualTo(new TicketMinter.MintResult.Full(60));
        for (int i = 0; i < 10; i++) {
            minted("b", 50);
        }
        assertThat(mint.mint("c", 50)).isEqualTo(new TicketMinter.MintResult.Full(50));
        assertThat(verdict(desk.spend(first, "a", 99))).isInstanceOf(TicketVerdict.SpendNow.class);

        assertThat(mint.mint("c", 100)).isInstanceOf(TicketMinter.MintResult.Minted.class);
        assertThat(verdict(desk.spend(first, "a", 100))).isInstanceOf(TicketVerdict.Expired.class);
    }

    /**
     * A daemon tells, late and wrongly, that a call did not run which another daemon is running. Believed, the caller
     * would hear "not run" of a payout that is made.
     */
    @Test
    void onlyTheDaemonThatMayRunTheCallCanTellWhatBecameOfIt() {
        String token = minted("a", 0);
        desk.onMessage("entry-3", new TicketMessage(1, 8, new TicketMessage.Spend(token, "a")), 1);
        TicketOutcome notRun = new TicketOutcome(TicketOutcome.Result.NOT_RUN, new byte[0]);

        desk.onMessage("entry-2", new TicketMessage(1, 8, new TicketMessage.Report(token, notRun)), 2);
        desk.onMessage("entry-3", new TicketMessage(2, 8, new TicketMessage.Report(token, notRun)), 3);
        assertThat(verdict(desk.spend(token, "a", 4))).isEqualTo(new TicketVerdict.AlreadySpent(Optional.empty()));

        desk.onMessage("entry-3", new TicketMessage(1, 8, new TicketMessage.Report(token, notRun)), 5);
        assertThat(verdict(desk.spend(token, "a", 6))).isInstanceOf(TicketVerdict.Burned.class);
    }

    @Test
    void bytesOfAnotherProtocolAreMalformed() {
        assertThat(TicketCodec.decode(new byte[] {(byte) 0xff, 1})).isInstanceOf(TicketCodec.Decoded.Malformed.class);
        assertThat(TicketCodec.decode(new byte[0])).isInstanceOf(TicketCodec.Decoded.Malformed.class);
    }

    /** A caller that lost the answer wants to be sure that its call never runs. */
    @Test
    void aBurnedTicketNeverRuns() {
        String token = minted("a", 0);

        assertThat(verdict(desk.burn(token, "a", 1))).isInstanceOf(TicketVerdict.Burned.class);
        assertThat(verdict(desk.spend(token, "a", 2))).isInstanceOf(TicketVerdict.Burned.class);
    }

    /**
     * The minter's permission arrives when the daemon has already told its caller "unknown". The daemon doesn't run the
     * call behind the caller's back, and the caller's next try learns that it truly did not run.
     */
    @Test
    void aPermissionThatComesTooLateGoesBackUnused() {
        TicketCoordinator forwarder = new TicketCoordinator(
                new MemberId("entry-3", 1),
                new TicketMinter(new MemberId("entry-3", 1), new byte[32], SETTINGS),
                SETTINGS);
        String token = minted("a", 0);
        TicketEffect.Send question =
                (TicketEffect.Send) forwarder.spend(token, "a", 0).effects().get(0);
        TicketEffect.Send permission =
                (TicketEffect.Send) desk.onMessage("entry-3", question.message(), 5).get(0);

        var effects = forwarder.onMessage("entry-1", permission.message(), 50);

        assertThat(effects.get(0))
                .isEqualTo(new TicketEffect.Verdict(1, new TicketVerdict.Unknown(TicketVerdict.Reason.UNREACHABLE)));
        desk.onMessage("entry-3", ((TicketEffect.Send) effects.get(1)).message(), 51);
        assertThat(verdict(desk.spend(token, "a", 52))).isInstanceOf(TicketVerdict.Burned.class);
    }

    private String minted(String customer, long nowNanos) {
        return ((TicketMinter.MintResult.Minted) mint.mint(customer, nowNanos)).token();
    }

    private static TicketVerdict verdict(TicketCoordinator.Started started) {
        return ((TicketEffect.Verdict) started.effects().get(0)).verdict();
    }
}
