package org.dotterelcourse.policy.budget;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Random;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class BucketBudgetTest {
    private static final long SECOND = 1_000_000_000L;
    private static final BudgetTerms TERMS = new BudgetTerms(2, 4, 100, 400);

    @Property(seed = "51", tries = 100)
    void neverLetsInMoreThanBurstAndRateAllow(@ForAll long seed) {
        // A customer sends all it can, and its answers are longer or shorter than estimated. Were the difference not
        // settled, or a debt forgiven, it would use more than it pays for and others would wait.
        Random random = new Random(seed);
        CustomerBudget budget = new BucketBudget(TERMS, 0);
        Deque<BudgetDecision.Charged> inFlight = new ArrayDeque<>();
        long now = 0;
        double reserved = 0;
        double used = 0;
        int requests = 0;
        for (int i = 0; i < 400; i++) {
            now += random.nextInt(500_000_000);
            double allowed = TERMS.tokenBurst() + TERMS.tokensPerSecond() * now / SECOND;
            if (budget.charge(random.nextInt(200), now) instanceof BudgetDecision.Charged charged) {
                inFlight.add(charged);
                reserved += charged.tokens();
                requests++;
                assertThat(used + reserved).isLessThanOrEqualTo(allowed + 1e-6);
                assertThat((double) requests).isLessThanOrEqualTo(4 + 2.0 * now / SECOND + 1e-6);
            }
            if (!inFlight.isEmpty() && random.nextBoolean()) {
                BudgetDecision.Charged ended = inFlight.remove();
                double actual = random.nextInt(400);
                budget.settle(ended, actual, now);
                reserved -= ended.tokens();
                used += actual;
            }
        }
    }

    @Test
    void tellsWhenARequestWouldFit() {
        CustomerBudget budget = new BucketBudget(TERMS, 0);
        budget.charge(400, 0);

        assertThat(budget.charge(50, 0)).isEqualTo(new BudgetDecision.OverBudget(SECOND / 2));
        assertThat(budget.charge(50, SECOND / 2)).isInstanceOf(BudgetDecision.Charged.class);
        assertThat(budget.charge(401, SECOND)).isEqualTo(new BudgetDecision.OverBudget(Long.MAX_VALUE));
    }

    @Test
    void givesBackWhatWasNotRun() {
        CustomerBudget budget = new BucketBudget(TERMS, 0);
        BudgetDecision.Charged charged = (BudgetDecision.Charged) budget.charge(400, 0);

        budget.settle(charged, 0, 0);

        assertThat(budget.charge(400, 0)).isInstanceOf(BudgetDecision.Charged.class);
    }
}
