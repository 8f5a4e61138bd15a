package org.dotterelcourse.policy.line;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

class UpstreamQueueTest {
    private static final long SECOND = 1_000_000_000L;

    private final UpstreamQueue<String> line = new UpstreamQueue<>();

    @Test
    void theMoreUrgentGoFirstAndAmongEqualsTheOlder() {
        line.add(waiter("old", 2, "a", 0));
        line.add(waiter("new", 2, "a", 1));
        line.add(waiter("urgent", 0, "a", 2));
        assertThat(serveAll(3 * SECOND)).containsExactly("urgent", "old", "new");
    }

    // In a long burst the oldest have missed their target. Were they served first, those behind them would be late too,
    // and in the end everybody.
    @Test
    void whatCanStillBeOnTimeGoesBeforeWhatIsLate() {
        line.add(new PendingRequest<>("late", 2, "a", 0, SECOND, 9 * SECOND));
        line.add(new PendingRequest<>("on time", 2, "a", SECOND, 5 * SECOND, 9 * SECOND));
        assertThat(serveAll(2 * SECOND)).containsExactly("on time", "late");
    }

    // One customer sends eight times as much as each of the others. In the order of arrival the others would get a
    // ninth
    // of the places together; with equal shares alone the large one would get hardly any.
    @Test
    void aCustomerThatSendsMuchTakesTurnsWithTheOthers() {
        for (int i = 0; i < 80; i++) {
            line.add(waiter("hot-" + i, 2, "hot", i));
        }
        for (int i = 0; i < 10; i++) {
            line.add(waiter("small-" + i, 2, "small-" + i % 2, 80 + i));
        }
        Map<String, Integer> served = new HashMap<>();
        for (int i = 0; i < 20; i++) {
            PendingRequest<String> next = line.peekNext(SECOND).orElseThrow();
            line.remove(next.item());
            line.recordDispatch(next.customer(), SECOND);
            served.merge(next.customer().equals("hot") ? "hot" : "small", 1, Integer::sum);
        }
        assertThat(served.get("small")).isBetween(9, 10);
        assertThat(served.get("hot")).isBetween(10, 11);
    }

    // Whoever could no longer end in time would take an engine's work for nothing. Its client is told at once.
    @Test
    void whatCannotEndInTimeIsTakenOut() {
        line.add(new PendingRequest<>("a", 2, "c", 0, SECOND, 2 * SECOND));
        line.add(new PendingRequest<>("b", 2, "c", 0, SECOND, 4 * SECOND));
        assertThat(line.removeExpired(3 * SECOND))
                .extracting(PendingRequest::item)
                .containsExactly("a");
        assertThat(line.size()).isEqualTo(1);
    }

    @Test
    void theWaitIsToldByHowManyLatelyLeft() {
        assertThat(line.expectedWaitMillis(0)).isZero();
        for (int i = 0; i < 400; i++) {
            line.recordDispatch("c", i * SECOND / 10);
        }
        for (int i = 0; i < 30; i++) {
            line.add(waiter("w" + i, 2, "c", i));
        }
        assertThat(line.expectedWaitMillis(40 * SECOND)).isCloseTo(3_000, within(300.0));
    }

    @Property(tries = 200, seed = "7")
    void everybodyIsServedOnceAndNobodyBeforeOneThatIsMoreUrgent(
            @ForAll @Size(max = 40) List<@IntRange(max = 3) Integer> priorities) {
        UpstreamQueue<Integer> random = new UpstreamQueue<>();
        for (int i = 0; i < priorities.size(); i++) {
            random.add(new PendingRequest<>(i, priorities.get(i), "c" + i % 3, i, i % 5 * SECOND, 9 * SECOND));
        }
        List<Integer> order = new ArrayList<>();
        while (random.size() > 0) {
            PendingRequest<Integer> next = random.peekNext(2 * SECOND).orElseThrow();
            order.add(next.item());
            random.remove(next.item());
            random.recordDispatch(next.customer(), 2 * SECOND);
        }
        assertThat(order).hasSameSizeAs(priorities).doesNotHaveDuplicates();
        assertThat(order.stream().map(priorities::get).toList()).isSorted();
    }

    private List<String> serveAll(long nowNanos) {
        List<String> order = new ArrayList<>();
        while (line.size() > 0) {
            PendingRequest<String> next = line.peekNext(nowNanos).orElseThrow();
            order.add(next.item());
            line.remove(next.item());
        }
        return order;
    }

    private static PendingRequest<String> waiter(String item, int priority, String customer, long arrivalNanos) {
        return new PendingRequest<>(item, priority, customer, arrivalNanos, 5 * SECOND, 9 * SECOND);
    }
}
