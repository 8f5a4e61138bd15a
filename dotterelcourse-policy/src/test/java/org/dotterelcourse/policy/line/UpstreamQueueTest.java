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

    private final UpstreamQueue<String> queue = new UpstreamQueue<>();

    @Test
    void ordersByPriorityAndThenByArrival() {
        queue.add(request("old", 2, "a", 0));
        queue.add(request("new", 2, "a", 1));
        queue.add(request("urgent", 0, "a", 2));
        assertThat(dispatchAll(3 * SECOND)).containsExactly("urgent", "old", "new");
    }

    // In a long burst the oldest requests have missed their target. If they were dispatched first, the requests after
    // them would be late too, and finally all requests.
    @Test
    void requestsThatCanMeetTheirTargetPrecedeLateOnes() {
        queue.add(new PendingRequest<>("late", 2, "a", 0, SECOND, 9 * SECOND));
        queue.add(new PendingRequest<>("on time", 2, "a", SECOND, 5 * SECOND, 9 * SECOND));
        assertThat(dispatchAll(2 * SECOND)).containsExactly("on time", "late");
    }

    // One customer sends eight times as much as each of the others. In the order of arrival, the others together
    // would get a ninth of the slots; with equal shares alone, the large customer would get hardly any.
    @Test
    void aCustomerWithManyRequestsAlternatesWithTheOthers() {
        for (int i = 0; i < 80; i++) {
            queue.add(request("hot-" + i, 2, "hot", i));
        }
        for (int i = 0; i < 10; i++) {
            queue.add(request("small-" + i, 2, "small-" + i % 2, 80 + i));
        }
        Map<String, Integer> dispatches = new HashMap<>();
        for (int i = 0; i < 20; i++) {
            PendingRequest<String> next = queue.peekNext(SECOND).orElseThrow();
            queue.remove(next.item());
            queue.recordDispatch(next.customer(), SECOND);
            dispatches.merge(next.customer().equals("hot") ? "hot" : "small", 1, Integer::sum);
        }
        assertThat(dispatches.get("small")).isBetween(9, 10);
        assertThat(dispatches.get("hot")).isBetween(10, 11);
    }

    // Guards against dispatching requests that cannot finish before their clients give up: the engine's work on them
    // would be lost. Their clients are rejected at once instead.
    @Test
    void removesRequestsThatCannotFinishBeforeTheirDeadline() {
        queue.add(new PendingRequest<>("a", 2, "c", 0, SECOND, 2 * SECOND));
        queue.add(new PendingRequest<>("b", 2, "c", 0, SECOND, 4 * SECOND));
        assertThat(queue.removeExpired(3 * SECOND))
                .extracting(PendingRequest::item)
                .containsExactly("a");
        assertThat(queue.size()).isEqualTo(1);
    }

    @Test
    void estimatesTheWaitFromTheRecentDispatchRate() {
        assertThat(queue.expectedWaitMillis(0)).isZero();
        for (int i = 0; i < 400; i++) {
            queue.recordDispatch("c", i * SECOND / 10);
        }
        for (int i = 0; i < 30; i++) {
            queue.add(request("w" + i, 2, "c", i));
        }
        assertThat(queue.expectedWaitMillis(40 * SECOND)).isCloseTo(3_000, within(300.0));
    }

    @Property(tries = 200, seed = "7")
    void dispatchesEachRequestOnceAndNoneBeforeAMoreUrgentOne(
            @ForAll @Size(max = 40) List<@IntRange(max = 3) Integer> priorities) {
        UpstreamQueue<Integer> randomQueue = new UpstreamQueue<>();
        for (int i = 0; i < priorities.size(); i++) {
            randomQueue.add(new PendingRequest<>(i, priorities.get(i), "c" + i % 3, i, i % 5 * SECOND, 9 * SECOND));
        }
        List<Integer> order = new ArrayList<>();
        while (randomQueue.size() > 0) {
            PendingRequest<Integer> next = randomQueue.peekNext(2 * SECOND).orElseThrow();
            order.add(next.item());
            randomQueue.remove(next.item());
            randomQueue.recordDispatch(next.customer(), 2 * SECOND);
        }
        assertThat(order).hasSameSizeAs(priorities).doesNotHaveDuplicates();
        assertThat(order.stream().map(priorities::get).toList()).isSorted();
    }

    private List<String> dispatchAll(long nowNanos) {
        List<String> order = new ArrayList<>();
        while (queue.size() > 0) {
            PendingRequest<String> next = queue.peekNext(nowNanos).orElseThrow();
            order.add(next.item());
            queue.remove(next.item());
        }
        return order;
    }

    private static PendingRequest<String> request(String item, int priority, String customer, long arrivalNanos) {
        return new PendingRequest<>(item, priority, customer, arrivalNanos, 5 * SECOND, 9 * SECOND);
    }
}
