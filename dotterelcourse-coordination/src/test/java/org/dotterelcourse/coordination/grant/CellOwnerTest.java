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
    private static final GrantId EARLIER = new GrantId(77, 1);

    /** An asker dies while its request runs. Its place must serve others again, or the workers fill up with nothing. */
    @Test
    void theLeaseOfADeadAskerReturns() {
        CellOwner owner = settled(1);
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

    /** An asker's process restarts. What its earlier life was granted runs no more and ends at once. */
    @Test
    void theGrantsOfAnEarlierLifeEndWithTheFirstMessageOfTheNext() {
        CellOwner owner = settled(1);
        ask(owner, "a", 1, 1, 0);

        assertThat(ask(owner, "a", 2, 1, 10))
                .hasOnlyElementsOfType(GrantMessage.Granted.class)
                .hasSize(1);
        assertThat(ask(owner, "a", 1, 2, 20))
                .as("an old message that was under way")
                .isEmpty();
        assertThat(owner.size()).isEqualTo(1);
    }

    /** The answer to an ask is lost and the ask comes again. Offered twice, it would take two places. */
    @Test
    void anAskThatComesTwiceGetsTheSameGrantAgain() {
        CellOwner owner = settled(2);
        List<GrantMessage.Reply> first = ask(owner, "a", 1, 1, 0);

        assertThat(ask(owner, "a", 1, 1, 10)).isEqualTo(first);
        assertThat(owner.leasesByWorker()).isEqualTo(Map.of("llm-1", 1));
    }

    /** A new owner knows nothing of what the old one granted. Granting at once, it would fill busy workers again. */
    @Test
    void aNewOwnerGrantsOnceEveryExpectedAskerHasRegistered() {
        CellOwner owner = builder(1).expectedClients(Set.of("a", "b")).takeOver(0);
        assertThat(ask(owner, "a", 1, 1, 1)).containsExactly(new GrantMessage.Queued(1));
        on(owner, "a", 1, new GrantMessage.Reregister(1, 0, 1, List.of(), List.of()), 2);
        assertThat(owner.settled()).isFalse();

        GrantMessage.Held held = new GrantMessage.Held(9, EARLIER, 5);
        var outstanding = new GrantMessage.Outstanding(held, "llm-1", 3, NONE);
        on(owner, "b", 1, new GrantMessage.Reregister(1, 0, 1, List.of(outstanding), List.of()), 3);
        assertThat(owner.settled()).isTrue();
        assertThat(owner.leasesByWorker()).isEqualTo(Map.of("llm-1", 1));

        assertThat(on(owner, "b", 1, new GrantMessage.Release(9, EARLIER, NONE), 4))
                .hasOnlyElementsOfType(GrantMessage.Granted.class)
                .hasSize(1);
    }

    /** An expected asker is silent. The cell must not wait for it for good. */
    @Test
    void aNewOwnerGrantsAfterTheSettleTimeAtTheLatest() {
        CellOwner owner = builder(1).expectedClients(Set.of("a", "silent")).takeOver(0);
        ask(owner, "a", 1, 1, 900);

        assertThat(replies(owner.advance(999))).isEmpty();
        assertThat(owner.advance(1_000)).contains(new OwnerEffect.Settled(0, 2));
        assertThat(owner.leasesByWorker()).isEqualTo(Map.of("llm-1", 1));
    }

    /** The parts of a large registration arrive in any order. The last number alone doesn't mean that all are there. */
    @Test
    void anAskerHasRegisteredOnlyWhenAllPartsAreThere() {
        CellOwner owner = builder(1).expectedClients(Set.of("a")).takeOver(0);
        on(owner, "a", 1, new GrantMessage.Reregister(1, 1, 2, List.of(), List.of()), 1);
        on(owner, "a", 1, new GrantMessage.Reregister(1, 1, 2, List.of(), List.of()), 2);
        assertThat(owner.settled()).isFalse();

        on(owner, "a", 1, new GrantMessage.Reregister(1, 0, 2, List.of(), List.of()), 3);
        assertThat(owner.settled()).isTrue();
    }

    /** Another member becomes the owner. Who still asks the old one must learn so at once, not by a timeout. */
    @Test
    void anOwnerThatResignedRefersToItsSuccessor() {
        CellOwner owner = settled(1);
        ask(owner, "a", 1, 1, 0);

        assertThat(replies(owner.resign("entry-2", 10))).containsExactly(new GrantMessage.NotOwner("entry-2"));
        assertThat(ask(owner, "a", 1, 2, 20)).containsExactly(new GrantMessage.NotOwner("entry-2"));
        assertThat(owner.leasesByWorker()).isEmpty();
    }

    private static CellOwner.Builder builder(int places) {
        FifoArbiter arbiter = new FifoArbiter(Map.of("llm-1", places), 100);
        return CellOwner.builder("cell", arbiter, new SplittableRandom(1)).settings(SETTINGS);
    }

    private static CellOwner settled(int places) {
        CellOwner owner = builder(places).expectedClients(Set.of()).takeOver(0);
        owner.advance(0);
        return owner;
    }

    private static List<GrantMessage.Reply> ask(CellOwner owner, String asker, long life, long ask, long now) {
        return on(owner, asker, life, new GrantMessage.Ask(ask, 0, NONE), now);
    }

    private static List<GrantMessage.Reply> on(
            CellOwner owner, String asker, long life, GrantMessage.Request request, long now) {
        return replies(owner.onMessage(asker, new GrantMessage.ToOwner("cell", life, now, request), now));
    }

    private static List<GrantMessage.Reply> replies(List<OwnerEffect> effects) {
        return effects.stream()
                .filter(OwnerEffect.Send.class::isInstance)
                .map(effect -> ((OwnerEffect.Send) effect).message().body())
                .toList();
    }
}
