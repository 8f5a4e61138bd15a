package org.dotterelcourse.coordination.grant;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class CellOwnerTest {
    private static final GrantSettings SETTINGS =
            GrantSettings.builder().lease(300, 100).settle(1_000).build();
    private static final byte[] NONE = {};
    private static final GrantId EARLIER_GRANT = new GrantId(77, 1);

    /**
     * A client dies while its request runs. If its lease did not expire, the slot would stay occupied forever although
     * nothing runs in it.
     */
    @Test
    void grantsSlotOfDeadClientAfterItsLeaseExpires() {
        CellOwner owner = settledOwner(1);
        ask(owner, "dead", 1, 1, 0);
        assertThat(ask(owner, "alive", 1, 1, 200)).containsExactly(new GrantMessage.Queued(1));

        assertThat(replies(owner.advance(280))).isEmpty();
        List<OwnerEffect> effects = owner.advance(301);

        assertThat(effects).anyMatch(OwnerEffect.LeaseExpired.class::isInstance);
        assertThat(replies(effects))
                .hasOnlyElementsOfType(GrantMessage.Granted.class)
                .hasSize(1);
        assertThat(owner.leasesByWorker()).isEqualTo(Map.of("llm-1", 1));
    }

    /**
     * A client's process restarts. The requests of its previous incarnation no longer run, so their grants end
     * immediately.
     */
    @Test
    void endsGrantsOfPreviousIncarnationOnFirstMessageOfTheNext() {
        CellOwner owner = settledOwner(1);
        ask(owner, "a", 1, 1, 0);

        assertThat(ask(owner, "a", 2, 1, 10))
                .hasOnlyElementsOfType(GrantMessage.Granted.class)
                .hasSize(1);
        assertThat(ask(owner, "a", 1, 2, 20))
                .as("a delayed message of the previous incarnation")
                .isEmpty();
        assertThat(owner.size()).isEqualTo(1);
    }

    /** The answer to an ask is lost and the ask is sent again. Offered twice, it would occupy two slots. */
    @Test
    void answersRepeatedAskWithTheSameGrant() {
        CellOwner owner = settledOwner(2);
        List<GrantMessage.Reply> first = ask(owner, "a", 1, 1, 0);

        assertThat(ask(owner, "a", 1, 1, 10)).isEqualTo(first);
        assertThat(owner.leasesByWorker()).isEqualTo(Map.of("llm-1", 1));
    }

    /**
     * A new owner does not have the grants of its predecessor. If it granted immediately, it would send requests to
     * workers that are already busy.
     */
    @Test
    void grantsOnceAllExpectedClientsHaveRegistered() {
        CellOwner owner = builder(1).expectedClients(Set.of("a", "b")).takeOver(0);
        assertThat(ask(owner, "a", 1, 1, 1)).containsExactly(new GrantMessage.Queued(1));
        receive(owner, "a", 1, new GrantMessage.Reregister(1, 0, 1, List.of(), List.of()), 2);
        assertThat(owner.isSettled()).isFalse();

        GrantMessage.Held held = new GrantMessage.Held(9, EARLIER_GRANT, 5);
        var outstanding = new GrantMessage.Outstanding(held, "llm-1", 3, NONE);
        receive(owner, "b", 1, new GrantMessage.Reregister(1, 0, 1, List.of(outstanding), List.of()), 3);
        assertThat(owner.isSettled()).isTrue();
        assertThat(owner.leasesByWorker()).isEqualTo(Map.of("llm-1", 1));

        assertThat(receive(owner, "b", 1, new GrantMessage.Release(9, EARLIER_GRANT, NONE), 4))
                .hasOnlyElementsOfType(GrantMessage.Granted.class)
                .hasSize(1);
    }

    /** An expected client never registers. The new owner must not wait for it indefinitely. */
    @Test
    void grantsAfterTheSettleTimeAtTheLatest() {
        CellOwner owner = builder(1).expectedClients(Set.of("a", "silent")).takeOver(0);
        ask(owner, "a", 1, 1, 900);

        assertThat(replies(owner.advance(999))).isEmpty();
        assertThat(owner.advance(1_000)).contains(new OwnerEffect.Settled(0, 2));
        assertThat(owner.leasesByWorker()).isEqualTo(Map.of("llm-1", 1));
    }

    /**
     * The parts of a large registration arrive out of order and may be duplicated. Neither the part with the last number
     * nor the number of messages shows that the registration is complete.
     */
    @Test
    void completesRegistrationOnlyWhenAllPartsHaveArrived() {
        CellOwner owner = builder(1).expectedClients(Set.of("a")).takeOver(0);
        receive(owner, "a", 1, new GrantMessage.Reregister(1, 1, 2, List.of(), List.of()), 1);
        receive(owner, "a", 1, new GrantMessage.Reregister(1, 1, 2, List.of(), List.of()), 2);
        assertThat(owner.isSettled()).isFalse();

        receive(owner, "a", 1, new GrantMessage.Reregister(1, 0, 2, List.of(), List.of()), 3);
        assertThat(owner.isSettled()).isTrue();
    }

    /**
     * Another member becomes the owner. Clients that still send asks to the former owner must be referred to the
     * successor immediately instead of running into a timeout.
     */
    @Test
    void refersClientsToItsSuccessorAfterResigning() {
        CellOwner owner = settledOwner(1);
        ask(owner, "a", 1, 1, 0);

        assertThat(replies(owner.resign("entry-2", 10))).containsExactly(new GrantMessage.NotOwner("entry-2"));
        assertThat(ask(owner, "a", 1, 2, 20)).containsExactly(new GrantMessage.NotOwner("entry-2"));
        assertThat(owner.leasesByWorker()).isEmpty();
    }

    private static CellOwner.Builder builder(int slots) {
        FifoArbiter arbiter = new FifoArbiter(Map.of("llm-1", slots), 100);
        return CellOwner.builder("cell", arbiter, new SplittableRandom(1)).settings(SETTINGS);
    }

    private static CellOwner settledOwner(int slots) {
        CellOwner owner = builder(slots).expectedClients(Set.of()).takeOver(0);
        owner.advance(0);
        return owner;
    }

    private static List<GrantMessage.Reply> ask(CellOwner owner, String client, long life, long ask, long nowNanos) {
        return receive(owner, client, life, new GrantMessage.Ask(ask, 0, NONE), nowNanos);
    }

    private static List<GrantMessage.Reply> receive(
            CellOwner owner, String client, long life, GrantMessage.Request request, long nowNanos) {
        return replies(owner.onMessage(client, new GrantMessage.ToOwner("cell", life, nowNanos, request), nowNanos));
    }

    private static List<GrantMessage.Reply> replies(List<OwnerEffect> effects) {
        return effects.stream()
                .filter(OwnerEffect.Send.class::isInstance)
                .map(effect -> ((OwnerEffect.Send) effect).message().body())
                .toList();
    }
}
