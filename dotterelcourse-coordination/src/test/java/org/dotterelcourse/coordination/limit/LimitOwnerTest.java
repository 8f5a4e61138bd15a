package org.dotterelcourse.coordination.limit;

import java.util.List;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class LimitOwnerTest {
    private static final long SECOND = 1_000_000_000L;
    private static final Budget BUDGET = new Budget(new Amount(10, 1_000), new Amount(10, 1_000));
    private final LimitOwner owner = new LimitOwner(LimitSettings.defaults(), 0);

    /**
     * Guards against leasing twice for a request that is sent again because the reply was lost. The amount would be
     * deducted twice, and no daemon could spend the second half.
     */
    @Test
    void repeatedRequestGetsSameSliceAndIsDeductedOnce() {
        owner.setBudget("a", BUDGET, 0);
        LimitMessage.Slice first = lease("entry-1", 1, 1, new Amount(4, 400), SECOND);

        assertThat(lease("entry-1", 1, 1, new Amount(4, 400), SECOND)).isEqualTo(first);
        assertThat(lease("entry-1", 1, 2, new Amount(10, 1_000), SECOND).amount())
                .isEqualTo(new Amount(6, 600));
    }

    /**
     * Guards against ignoring a restarted daemon, whose sequence numbers begin again at 1, and against answering a
     * delayed request of its earlier incarnation.
     */
    @Test
    void answersRestartedDaemonButNotItsEarlierIncarnation() {
        owner.setBudget("a", BUDGET, 0);
        lease("entry-1", 1, 7, new Amount(1, 100), SECOND);

        assertThat(lease("entry-1", 2, 1, new Amount(1, 100), SECOND).amount()).isEqualTo(new Amount(1, 100));
        assertThat(owner.onMessage("entry-1", wants(1, 8, new Amount(1, 100)), SECOND))
                .isEmpty();
    }

    /** Guards against one daemon's callers using up the budget while another daemon requests slices as well. */
    @Test
    void activeDaemonsGetEqualShares() {
        owner.setBudget("a", BUDGET, 0);
        lease("entry-1", 1, 1, Amount.ZERO, SECOND);
        lease("entry-2", 1, 1, Amount.ZERO, SECOND);

        LimitMessage.Slice slice = lease("entry-1", 1, 2, new Amount(10, 1_000), SECOND);

        assertThat(slice.amount()).isEqualTo(new Amount(5, 500));
    }

    private LimitMessage.Slice lease(String from, long life, long sequence, Amount amount, long now) {
        LimitEffect.Send send = (LimitEffect.Send)
                owner.onMessage(from, wants(life, sequence, amount), now).get(0);
        return ((LimitMessage.Slices) send.message()).slices().get(0);
    }

    private static LimitMessage.Wants wants(long life, long sequence, Amount amount) {
        return new LimitMessage.Wants(life, List.of(new LimitMessage.Want("a", sequence, amount, Amount.ZERO)));
    }
}
