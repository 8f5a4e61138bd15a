package org.dotterelcourse.policy.repeat;

import java.util.ArrayList;
import java.util.List;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class WindowedRetryBudgetTest {
    private static final long SECOND = 1_000_000_000L;
    private static final double RATIO = 0.2;
    private static final int EXTRA = 20;

    // An upstream fails every request for a while, and every process retries as often as it may. In no window may the
    // fleet send more retries than its budget allows.
    @Property(tries = 200, seed = "7")
    void aFleetStaysWithinItsBudgetInEveryWindow(
            @ForAll @IntRange(min = 1, max = 8) int processes,
            @ForAll @Size(min = 1, max = 300) List<@IntRange(max = 400) Integer> gapsMillis) {
        List<WindowedRetryBudget> fleet = new ArrayList<>();
        for (int i = 0; i < processes; i++) {
            WindowedRetryBudget budget = new WindowedRetryBudget(RATIO, EXTRA, 10 * SECOND);
            budget.recordFleetSize(processes);
            fleet.add(budget);
        }
        List<Long> requests = new ArrayList<>();
        List<Long> retries = new ArrayList<>();
        long nowNanos = 0;
        for (int i = 0; i < gapsMillis.size(); i++) {
            nowNanos += gapsMillis.get(i) * 1_000_000L;
            WindowedRetryBudget budget = fleet.get(i * 7 % processes);
            budget.recordRequest(nowNanos);
            requests.add(nowNanos);
            while (budget.tryAcquire(nowNanos)) {
                retries.add(nowNanos);
            }
            long windowStart = nowNanos - 10 * SECOND;
            long retriesInWindow =
                    retries.stream().filter(at -> at >= windowStart).count();
            long requestsInWindow =
                    requests.stream().filter(at -> at >= windowStart).count();
            assertThat((double) retriesInWindow).isLessThanOrEqualTo(RATIO * requestsInWindow + EXTRA);
        }
    }

    @Test
    void aUsedBudgetIsAvailableAgainAfterTheWindow() {
        WindowedRetryBudget budget = new WindowedRetryBudget(0, 10, 10 * SECOND);
        int acquired = 0;
        while (budget.tryAcquire(0)) {
            acquired++;
        }
        assertThat(acquired).isEqualTo(8);
        assertThat(budget.tryAcquire(9 * SECOND)).isFalse();
        assertThat(budget.tryAcquire(11 * SECOND)).isTrue();
    }
}
