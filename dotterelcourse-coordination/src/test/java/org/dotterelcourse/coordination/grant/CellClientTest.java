package org.dotterelcourse.coordination.grant;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class CellClientTest {
    private static final long TERM = 5;
    private static final long LIFE = 3;
    private static final byte[] NONE = {};
    private static final GrantId GRANT = new GrantId(TERM, 1);
    private static final GrantSettings SETTINGS =
            GrantSettings.builder().lease(300, 100).timeouts(20, 60).maxAsks(2).build();
    private final CellClient client =
            new CellClient("cell", LIFE, SETTINGS, new FifoArbiter(Map.of("llm-9", 1), 10), new SplittableRandom(1));

    @BeforeEach
    void registersWithTheOwner() {
        client.ownerChanged(Optional.of("owner"), 0);
        on("owner", new GrantMessage.Registered(1, 0), 0, 0);
    }

    /** The process is paused after it got a grant. Its place has long gone to another request when it wakes. */
    @Test
    void aGrantWhoseLeaseMayHaveEndedGoesBackUnused() {
        long ask = client.ask(0, 10_000, NONE, 10).ask();
        on("owner", granted(ask, GRANT), 10, 5);

        GrantCheck check = client.tryUse(ask, 315);

        assertThat(((GrantCheck.LeaseExpired) check).effects())
                .anyMatch(effect -> sent(effect) instanceof GrantMessage.Release);
        assertThat(client.tryUse(ask, 315)).isInstanceOf(GrantCheck.NotHeld.class);
    }

    /** A grant is under way for long. Its lease counts from when the owner gave it, not from when it arrives. */
    @Test
    void aLeaseEndsNoLaterHereThanAtTheOwnerHoweverLateTheGrantArrives() {
        long ask = client.ask(0, 10_000, NONE, 10).ask();
        client.onMessage("owner", message(granted(ask, GRANT), 10, 5), 310);

        assertThat(client.tryUse(ask, 314)).isInstanceOf(GrantCheck.Usable.class);
        assertThat(client.tryUse(ask, 314)).isInstanceOf(GrantCheck.NotHeld.class);
    }

    @Test
    void aGrantAfterTheDeadlineGoesBackUnused() {
        long ask = client.ask(0, 50, NONE, 10).ask();
        on("owner", granted(ask, GRANT), 10, 0);

        assertThat(client.tryUse(ask, 50)).isInstanceOf(GrantCheck.DeadlinePassed.class);
    }

    /** Two owners grant the same ask. Used both, the request would run twice. */
    @Test
    void asksThatAreGrantedTwiceUseOneGrantAndReturnTheOther() {
        long ask = client.ask(0, 10_000, NONE, 10).ask();
        GrantId second = new GrantId(TERM, 2);
        assertThat(on("owner", granted(ask, GRANT), 10, 0))
                .containsExactly(new ClientEffect.Granted(ask, GRANT, "llm-1"));

        assertThat(on("owner", granted(ask, GRANT), 10, 0)).isEmpty();
        assertThat(returned(on("owner", granted(ask, second), 10, 0))).containsExactly(second);
        assertThat(returned(on("former", granted(ask, second), 10, 0))).containsExactly(second);
        client.withdraw(ask, 11);
        assertThat(client.size()).as("a granted ask can't be withdrawn").isEqualTo(1);
    }

    /** A caller goes away just when its grant is under way. */
    @Test
    void aGrantForAWithdrawnAskGoesBack() {
        long ask = client.ask(0, 10_000, NONE, 10).ask();
        client.withdraw(ask, 11);

        assertThat(returned(on("owner", granted(ask, GRANT), 10, 0))).containsExactly(GRANT);
    }

    /** A grant was returned while its ask waits on, and a second copy of it arrives. Its place is another's by now. */
    @Test
    void aReturnedGrantIsNotTakenWhenItComesAgain() {
        long ask = client.ask(0, 10_000, NONE, 10).ask();
        client.ownerChanged(Optional.of("owner"), 11);
        assertThat(returned(on("owner", granted(ask, GRANT), 10, 0))).containsExactly(GRANT);
        on("owner", new GrantMessage.Registered(2, 0), 11, 0);

        assertThat(returned(on("owner", granted(ask, GRANT), 10, 0))).containsExactly(GRANT);
        assertThat(on("owner", granted(ask, new GrantId(TERM, 2)), 12, 0)).hasSize(1);
    }

    /** The owner ends a grant for more urgent work. The request is stopped, and asked for again with its arrival. */
    @Test
    void aPreemptedRequestIsToldOnceAndIsNotRenewed() {
        long ask = client.ask(0, 10_000, NONE, 10).ask();
        on("owner", granted(ask, GRANT), 10, 0);
        client.tryUse(ask, 11);
        GrantMessage.Preempted preempted = new GrantMessage.Preempted(ask, GRANT);

        assertThat(on("owner", preempted, 10, 0)).containsExactly(new ClientEffect.Preempted(ask, GRANT));
        assertThat(on("owner", preempted, 10, 0)).isEmpty();
        assertThat(client.advance(200))
                .anyMatch(effect -> sent(effect).equals(new GrantMessage.Renew(List.of(), List.of())));
        client.release(ask, NONE, 201);
        assertThat(client.size()).isZero();
    }

    /** The owner process is replaced under the same name and has an empty queue. Waiting callers must not be lost. */
    @Test
    void anOwnerOfAnotherTermIsToldEverythingAgain() {
        long ask = client.ask(0, 10_000, NONE, 10).ask();
        on("owner", new GrantMessage.Queued(ask), 10, 0);

        var answer = new GrantMessage.ToClient("cell", LIFE, TERM + 1, 10, 0, new GrantMessage.Queued(ask));
        List<ClientEffect> effects = client.onMessage("owner", answer, 20);

        assertThat(effects)
                .anyMatch(effect -> sent(effect) instanceof GrantMessage.Reregister register
                        && register.asks().size() == 1);
    }

    /**
     * An asker was silent for longer than a lease while its request streamed, and the owner has given the place away. It
     * has to know again that the worker is busy, or it goes on to grant there.
     */
    @Test
    void aGrantThatTheOwnerHasForgottenIsRegisteredAgain() {
        long ask = client.ask(0, 10_000, NONE, 10).ask();
        on("owner", granted(ask, GRANT), 10, 0);

        List<ClientEffect> effects = on("owner", new GrantMessage.Renewed(300, List.of(ask)), 400, 0);

        assertThat(effects)
                .anyMatch(effect -> sent(effect) instanceof GrantMessage.Reregister register
                        && register.grants().get(0).held().grant().equals(GRANT));
    }

    /** A release or a withdrawal crosses the owner's answer to a renewal. Nothing must come back to life by it. */
    @Test
    void whatHasEndedIsNotRegisteredAgain() {
        long ask = client.ask(0, 10_000, NONE, 10).ask();
        on("owner", granted(ask, GRANT), 10, 0);
        client.release(ask, NONE, 20);

        assertThat(on("owner", new GrantMessage.Renewed(300, List.of(ask)), 30, 0))
                .isEmpty();
    }

    /** No owner answers. Callers are served from this member's own fraction, and the owner hears of it later. */
    @Test
    void aSilentOwnerLeadsToLocalModeAndItsReturnEndsIt() {
        long ask = client.ask(0, 10_000, NONE, 10).ask();
        assertThat(client.advance(50)).noneMatch(ClientEffect.Granted.class::isInstance);
        assertThat(client.advance(80)).contains(new ClientEffect.LocalMode(true));
        assertThat(client.tryUse(ask, 81)).isEqualTo(new GrantCheck.Usable("llm-9"));
        long waiting = client.ask(82, 10_000, NONE, 82).ask();

        List<ClientEffect> back = on("owner", new GrantMessage.Renewed(300, List.of()), 82, 0);

        assertThat(back).contains(new ClientEffect.LocalMode(false));
        GrantMessage.Reregister register = (GrantMessage.Reregister) sent(back.get(back.size() - 1));
        assertThat(register.grants()).hasSize(1);
        assertThat(register.asks()).extracting(GrantMessage.Ask::ask).containsExactly(waiting);
    }

    /** More callers wait than the process can remember. They hear at once that they were not run. */
    @Test
    void aFullClientRefuses() {
        client.ask(0, 10_000, NONE, 10);
        client.ask(0, 10_000, NONE, 10);

        assertThat(client.ask(0, 10_000, NONE, 10).effects())
                .containsExactly(new ClientEffect.Refused(3, CellClient.CLIENT_FULL, 100));
    }

    @Test
    void aWaitingAskEndsAtItsDeadline() {
        long ask = client.ask(0, 30, NONE, 10).ask();

        assertThat(client.advance(30)).contains(new ClientEffect.DeadlinePassed(ask));
        assertThat(client.size()).isZero();
    }

    private List<ClientEffect> on(String from, GrantMessage.Reply reply, long stamp, long since) {
        return client.onMessage(from, message(reply, stamp, since), stamp + since);
    }

    private static GrantMessage.ToClient message(GrantMessage.Reply reply, long stamp, long since) {
        return new GrantMessage.ToClient("cell", LIFE, TERM, stamp, since, reply);
    }

    private static GrantMessage.Granted granted(long ask, GrantId grant) {
        return new GrantMessage.Granted(ask, grant, "llm-1", 300);
    }

    private static Object sent(ClientEffect effect) {
        return effect instanceof ClientEffect.Send send ? send.message().body() : effect;
    }

    private static List<GrantId> returned(List<ClientEffect> effects) {
        List<GrantId> grants = new ArrayList<>();
        for (ClientEffect effect : effects) {
            if (sent(effect) instanceof GrantMessage.Release release) {
                grants.add(release.grant());
            }
        }
        return grants;
    }
}
