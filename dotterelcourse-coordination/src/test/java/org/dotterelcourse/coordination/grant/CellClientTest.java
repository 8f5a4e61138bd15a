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
    void registerWithOwner() {
        client.ownerChanged(Optional.of("owner"), 0);
        receive("owner", new GrantMessage.Registered(1, 0), 0, 0);
    }

    /**
     * The process was paused after it received a grant. The lease has expired meanwhile, and the owner has granted the
     * slot to another request.
     */
    @Test
    void returnsGrantUnusedWhenItsLeaseMayHaveExpired() {
        long ask = client.ask(0, 10_000, NONE, 10).ask();
        receive("owner", granted(ask, GRANT), 10, 5);

        GrantCheck check = client.tryUse(ask, 315);

        assertThat(((GrantCheck.LeaseExpired) check).effects())
                .anyMatch(effect -> sent(effect) instanceof GrantMessage.Release);
        assertThat(client.tryUse(ask, 315)).isInstanceOf(GrantCheck.NotHeld.class);
    }

    /** A grant that arrives late must not get a longer lease: it starts when the owner sends the grant, not on arrival. */
    @Test
    void leaseEndsNoLaterThanAtOwnerWhenGrantArrivesLate() {
        long ask = client.ask(0, 10_000, NONE, 10).ask();
        client.onMessage("owner", message(granted(ask, GRANT), 10, 5), 310);

        assertThat(client.tryUse(ask, 314)).isInstanceOf(GrantCheck.Usable.class);
        assertThat(client.tryUse(ask, 314)).isInstanceOf(GrantCheck.NotHeld.class);
    }

    @Test
    void returnsGrantUnusedAfterTheDeadline() {
        long ask = client.ask(0, 50, NONE, 10).ask();
        receive("owner", granted(ask, GRANT), 10, 0);

        assertThat(client.tryUse(ask, 50)).isInstanceOf(GrantCheck.DeadlinePassed.class);
    }

    /** Two owners grant the same ask. If the client used both grants, the request would run twice. */
    @Test
    void usesOneGrantAndReturnsTheOtherWhenAskIsGrantedTwice() {
        long ask = client.ask(0, 10_000, NONE, 10).ask();
        GrantId second = new GrantId(TERM, 2);
        assertThat(receive("owner", granted(ask, GRANT), 10, 0))
                .containsExactly(new ClientEffect.Granted(ask, GRANT, "llm-1"));

        assertThat(receive("owner", granted(ask, GRANT), 10, 0)).isEmpty();
        assertThat(returned(receive("owner", granted(ask, second), 10, 0))).containsExactly(second);
        assertThat(returned(receive("former", granted(ask, second), 10, 0))).containsExactly(second);
        client.withdraw(ask, 11);
        assertThat(client.size()).as("a granted ask can't be withdrawn").isEqualTo(1);
    }

    /** The caller disconnects while the grant is in flight. */
    @Test
    void returnsGrantForWithdrawnAsk() {
        long ask = client.ask(0, 10_000, NONE, 10).ask();
        client.withdraw(ask, 11);

        assertThat(returned(receive("owner", granted(ask, GRANT), 10, 0))).containsExactly(GRANT);
    }

    /**
     * A grant was returned while its ask still waits, and a duplicate of it arrives. The owner may have granted the slot
     * to another request by then, so accepting the duplicate would exceed the worker's capacity.
     */
    @Test
    void rejectsDuplicateOfReturnedGrant() {
        long ask = client.ask(0, 10_000, NONE, 10).ask();
        client.ownerChanged(Optional.of("owner"), 11);
        assertThat(returned(receive("owner", granted(ask, GRANT), 10, 0))).containsExactly(GRANT);
        receive("owner", new GrantMessage.Registered(2, 0), 11, 0);

        assertThat(returned(receive("owner", granted(ask, GRANT), 10, 0))).containsExactly(GRANT);
        assertThat(receive("owner", granted(ask, new GrantId(TERM, 2)), 12, 0)).hasSize(1);
    }

    /**
     * The owner revokes a grant for a more urgent request. The embedder stops the request and asks again with the
     * original arrival time.
     */
    @Test
    void reportsPreemptionOnceAndDoesNotRenewTheGrant() {
        long ask = client.ask(0, 10_000, NONE, 10).ask();
        receive("owner", granted(ask, GRANT), 10, 0);
        client.tryUse(ask, 11);
        GrantMessage.Preempted preempted = new GrantMessage.Preempted(ask, GRANT);

        assertThat(receive("owner", preempted, 10, 0)).containsExactly(new ClientEffect.Preempted(ask, GRANT));
        assertThat(receive("owner", preempted, 10, 0)).isEmpty();
        assertThat(client.advance(200))
                .anyMatch(effect -> sent(effect).equals(new GrantMessage.Renew(List.of(), List.of())));
        client.release(ask, NONE, 201);
        assertThat(client.size()).isZero();
    }

    /**
     * The owner process restarts under the same name and has an empty queue. Without a new registration, the waiting
     * callers would get no answer.
     */
    @Test
    void registersAgainWithAnOwnerOfAnotherTerm() {
        long ask = client.ask(0, 10_000, NONE, 10).ask();
        receive("owner", new GrantMessage.Queued(ask), 10, 0);

        var answer = new GrantMessage.ToClient("cell", LIFE, TERM + 1, 10, 0, new GrantMessage.Queued(ask));
        List<ClientEffect> effects = client.onMessage("owner", answer, 20);

        assertThat(effects)
                .anyMatch(effect -> sent(effect) instanceof GrantMessage.Reregister register
                        && register.asks().size() == 1);
    }

    /**
     * A client sent nothing for longer than a lease while its request streamed, and the owner expired the grant. Without
     * a new registration, the owner would keep granting a worker that is still busy.
     */
    @Test
    void registersGrantAgainThatExpiredAtTheOwner() {
        long ask = client.ask(0, 10_000, NONE, 10).ask();
        receive("owner", granted(ask, GRANT), 10, 0);

        List<ClientEffect> effects = receive("owner", new GrantMessage.Renewed(300, List.of(ask)), 400, 0);

        assertThat(effects)
                .anyMatch(effect -> sent(effect) instanceof GrantMessage.Reregister register
                        && register.grants().get(0).held().grant().equals(GRANT));
    }

    /**
     * A grant is released while the owner's answer to its renewal is in flight. The answer lists the grant as unknown,
     * but it must not be registered again.
     */
    @Test
    void doesNotRegisterReleasedGrantAgain() {
        long ask = client.ask(0, 10_000, NONE, 10).ask();
        receive("owner", granted(ask, GRANT), 10, 0);
        client.release(ask, NONE, 20);

        assertThat(receive("owner", new GrantMessage.Renewed(300, List.of(ask)), 30, 0))
                .isEmpty();
    }

    /**
     * No owner answers: the client grants requests from its own fraction of the capacity. When the owner answers again,
     * the client registers these grants with it.
     */
    @Test
    void entersLocalModeWhenOwnerIsUnresponsiveAndLeavesItOnItsAnswer() {
        long ask = client.ask(0, 10_000, NONE, 10).ask();
        assertThat(client.advance(50)).noneMatch(ClientEffect.Granted.class::isInstance);
        assertThat(client.advance(80)).contains(new ClientEffect.LocalMode(true));
        assertThat(client.tryUse(ask, 81)).isEqualTo(new GrantCheck.Usable("llm-9"));
        long waiting = client.ask(82, 10_000, NONE, 82).ask();

        List<ClientEffect> effects = receive("owner", new GrantMessage.Renewed(300, List.of()), 82, 0);

        assertThat(effects).contains(new ClientEffect.LocalMode(false));
        GrantMessage.Reregister register = (GrantMessage.Reregister) sent(effects.get(effects.size() - 1));
        assertThat(register.grants()).hasSize(1);
        assertThat(register.asks()).extracting(GrantMessage.Ask::ask).containsExactly(waiting);
    }

    /** Overload: more callers wait than the client keeps asks for. Further asks are rejected immediately. */
    @Test
    void rejectsAsksBeyondTheMaximum() {
        client.ask(0, 10_000, NONE, 10);
        client.ask(0, 10_000, NONE, 10);

        assertThat(client.ask(0, 10_000, NONE, 10).effects())
                .containsExactly(new ClientEffect.Refused(3, CellClient.CLIENT_FULL, 100));
    }

    @Test
    void endsWaitingAskAtItsDeadline() {
        long ask = client.ask(0, 30, NONE, 10).ask();

        assertThat(client.advance(30)).contains(new ClientEffect.DeadlinePassed(ask));
        assertThat(client.size()).isZero();
    }

    private List<ClientEffect> receive(String from, GrantMessage.Reply reply, long stampNanos, long sinceStampNanos) {
        return client.onMessage(from, message(reply, stampNanos, sinceStampNanos), stampNanos + sinceStampNanos);
    }

    private static GrantMessage.ToClient message(GrantMessage.Reply reply, long stampNanos, long sinceStampNanos) {
        return new GrantMessage.ToClient("cell", LIFE, TERM, stampNanos, sinceStampNanos, reply);
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
