package org.dotterelcourse.policy.line;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;
import static org.assertj.core.api.Assertions.within;

class UpstreamQueueTest {
    private static final long SECOND = 1_000_000_000L;

    private final UpstreamQueue<String, String> queue = new UpstreamQueue<>();
    private final List<String> decided = new ArrayList<>();

    @Test
    void ordersByPriorityAndThenByArrival() {
        add(request("old", 2, "a", 0));
        add(request("new", 2, "a", 1));
        add(request("urgent", 0, "a", 2));
        assertThat(dispatchAll(3 * SECOND)).containsExactly("urgent", "old", "new");
    }

    // In a long burst the oldest requests have missed their target. If they were dispatched first, the requests after
    // them would be late too, and finally all requests.
    @Test
    void requestsThatCanMeetTheirTargetPrecedeLateOnes() {
        add(new PendingRequest<>("late", 2, "a", 0, SECOND, 9 * SECOND));
        add(new PendingRequest<>("on time", 2, "a", SECOND, 5 * SECOND, 9 * SECOND));
        assertThat(dispatchAll(2 * SECOND)).containsExactly("on time", "late");
    }

    // One customer sends eight times as much as each of the others. In the order of arrival, the others together
    // would get a ninth of the slots; with equal shares alone, the large customer would get hardly any.
    @Test
    void aCustomerWithManyRequestsAlternatesWithTheOthers() {
        for (int i = 0; i < 80; i++) {
            add(request("hot-" + i, 2, "hot", i));
        }
        for (int i = 0; i < 10; i++) {
            add(request("small-" + i, 2, "small-" + i % 2, 80 + i));
        }
        Map<String, Integer> dispatches = new HashMap<>();
        for (int i = 0; i < 20; i++) {
            PendingRequest<String> next = queue.peekNext(SECOND).orElseThrow();
            queue.decide(next.item(), "sent");
            queue.recordDispatch(next.customer(), SECOND);
            dispatches.merge(next.customer().equals("hot") ? "hot" : "small", 1, Integer::sum);
        }
        assertThat(dispatches.get("small")).isBetween(9, 10);
        assertThat(dispatches.get("hot")).isBetween(10, 11);
    }

    // Guards against dispatching requests that cannot finish before their clients give up: the engine's work on them
    // would be lost. Their clients are rejected at once instead.
    @Test
    void rejectsRequestsThatCannotFinishBeforeTheirDeadline() {
        add(new PendingRequest<>("a", 2, "c", 0, SECOND, 2 * SECOND));
        add(new PendingRequest<>("b", 2, "c", 0, SECOND, 4 * SECOND));
        queue.decideEach(request -> request.isExpired(3 * SECOND) ? Optional.of("expired") : Optional.empty());
        assertThat(decided).containsExactly("a expired");
        assertThat(queue.size()).isEqualTo(1);
    }

    @Test
    void estimatesTheWaitFromTheRecentDispatchRate() {
        assertThat(queue.expectedWaitMillis(0)).isZero();
        for (int i = 0; i < 400; i++) {
            queue.recordDispatch("c", i * SECOND / 10);
        }
        for (int i = 0; i < 30; i++) {
            add(request("w" + i, 2, "c", i));
        }
        assertThat(queue.expectedWaitMillis(40 * SECOND)).isCloseTo(3_000, within(300.0));
    }

    @Property(tries = 200, seed = "7")
    void dispatchesEachRequestOnceAndNoneBeforeAMoreUrgentOne(
            @ForAll @Size(max = 40) List<@IntRange(max = 3) Integer> priorities) {
        UpstreamQueue<Integer, Integer> randomQueue = new UpstreamQueue<>();
        List<Integer> order = new ArrayList<>();
        for (int i = 0; i < priorities.size(); i++) {
            randomQueue.add(
                    new PendingRequest<>(i, priorities.get(i), "c" + i % 3, i, i % 5 * SECOND, 9 * SECOND), order::add);
        }
        while (randomQueue.size() > 0) {
            PendingRequest<Integer> next = randomQueue.peekNext(2 * SECOND).orElseThrow();
            randomQueue.decide(next.item(), next.item());
            randomQueue.recordDispatch(next.customer(), 2 * SECOND);
        }
        assertThat(order).hasSameSizeAs(priorities).doesNotHaveDuplicates();
        assertThat(order.stream().map(priorities::get).toList()).isSorted();
    }

    // Guards against a decision on one request that removes others without an answer.
    @Test
    void aDecisionOnOneRequestLeavesTheOthersInTheQueue() {
        add(request("first", 0, "a", 0));
        add(request("second", 1, "a", 1));
        add(request("third", 2, "a", 2));
        queue.decideEach(request -> request.item().equals("second") ? Optional.of("rejected") : Optional.empty());
        assertThat(decided).containsExactly("second rejected");
        assertThat(dispatchAll(SECOND)).containsExactly("first", "third");
    }

    // Guards against requests without an answer after another one's rule or recipient has failed.
    @Test
    void aFailureOfOneRequestDoesNotKeepTheDecisionFromTheOthers() {
        add(request("a", 0, "c", 0));
        queue.add(request("b", 0, "c", 1), decision -> {
            throw new IllegalStateException("recipient of b");
        });
        add(request("c", 0, "c", 2));
        add(request("d", 0, "c", 3));
        assertThatThrownBy(() -> queue.decideEach(request -> {
                    if (request.item().equals("c")) {
                        throw new IllegalStateException("rule for c");
                    }
                    return Optional.of("rejected");
                }))
                .hasMessage("recipient of b")
                .satisfies(error -> assertThat(error.getSuppressed()).hasSize(1));
        assertThat(decided).containsExactly("a rejected", "d rejected");
        assertThat(dispatchAll(SECOND)).containsExactly("c");
    }

    // Guards against a request that only busy engines may have and that holds up those behind it.
    @Test
    void aRequestThatIsNotEligibleDoesNotHoldUpTheOthers() {
        add(request("held", 0, "a", 0));
        add(request("other", 2, "a", 1));
        assertThat(queue.peekNext(SECOND, each -> !each.item().equals("held")))
                .map(PendingRequest::item)
                .contains("other");
    }

    /** One operation on a queue. */
    private enum Operation {
        ADD,
        ADD_WHEN_DECIDED,
        WITHDRAW_WHEN_DECIDED,
        DECIDE_NEXT,
        DECIDE_SOME,
        WITHDRAW,
        DECIDE_ALL
    }

    // Guards against requests that leave the queue without a decision, or with two.
    @Property(tries = 500, seed = "20261205")
    void eachRequestIsDecidedExactlyOnceUnlessItIsWithdrawn(@ForAll @Size(max = 60) List<Operation> operations) {
        UpstreamQueue<Integer, String> randomQueue = new UpstreamQueue<>();
        Map<Integer, Integer> decisions = new HashMap<>();
        Set<Integer> withdrawn = new HashSet<>();
        int[] added = {0};
        Consumer<Integer> add = number -> randomQueue.add(
                new PendingRequest<>(number, number % 3, "c" + number % 2, number, SECOND, 2 * SECOND),
                decision -> decisions.merge(number, 1, Integer::sum));
        Consumer<Integer> withdraw = number -> {
            if (number < added[0] && !decisions.containsKey(number)) {
                withdrawn.add(number);
            }
            randomQueue.withdraw(number);
        };
        for (Operation operation : operations) {
            int number = added[0];
            switch (operation) {
                case ADD -> add.accept(added[0]++);
                case ADD_WHEN_DECIDED -> {
                    added[0]++;
                    randomQueue.add(new PendingRequest<>(number, 0, "c", number, SECOND, 2 * SECOND), decision -> {
                        decisions.merge(number, 1, Integer::sum);
                        add.accept(added[0]++);
                    });
                }
                case WITHDRAW_WHEN_DECIDED -> {
                    added[0]++;
                    randomQueue.add(new PendingRequest<>(number, 0, "c", number, SECOND, 2 * SECOND), decision -> {
                        decisions.merge(number, 1, Integer::sum);
                        withdraw.accept(number / 2);
                    });
                }
                case DECIDE_NEXT ->
                    randomQueue.peekNext(SECOND).ifPresent(next -> randomQueue.decide(next.item(), "sent"));
                case DECIDE_SOME ->
                    randomQueue.decideEach(each -> each.item() % 2 == 0 ? Optional.of("rejected") : Optional.empty());
                case WITHDRAW -> withdraw.accept(number / 2);
                case DECIDE_ALL -> randomQueue.decideEach(each -> Optional.of("rejected"));
                default -> throw new AssertionError(operation);
            }
        }
        while (randomQueue.size() > 0) {
            randomQueue.decideEach(each -> Optional.of("rejected"));
        }
        assertThat(decisions.values()).allMatch(count -> count == 1);
        for (int number = 0; number < added[0]; number++) {
            assertThat(decisions.containsKey(number)).isNotEqualTo(withdrawn.contains(number));
        }
    }

    private void add(PendingRequest<String> request) {
        queue.add(request, decision -> decided.add(request.item() + " " + decision));
    }

    private List<String> dispatchAll(long nowNanos) {
        List<String> order = new ArrayList<>();
        while (queue.size() > 0) {
            PendingRequest<String> next = queue.peekNext(nowNanos).orElseThrow();
            order.add(next.item());
            queue.decide(next.item(), "sent");
        }
        return order;
    }

    private static PendingRequest<String> request(String item, int priority, String customer, long arrivalNanos) {
        return new PendingRequest<>(item, priority, customer, arrivalNanos, 5 * SECOND, 9 * SECOND);
    }
}
