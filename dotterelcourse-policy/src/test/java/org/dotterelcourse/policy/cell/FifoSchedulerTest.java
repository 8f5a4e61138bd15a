package org.dotterelcourse.policy.cell;

import java.util.List;
import java.util.Random;
import java.util.Set;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class FifoSchedulerTest {
    private static final ClassTerms TERMS = new ClassTerms("teller", 1, 0.1, 10, false, 1_000, 0, 1);

    private final FifoScheduler scheduler = new FifoScheduler(2, new Random(1));

    @Test
    void servesRequestsInOrderOfArrivalAsSlotsBecomeFree() {
        scheduler.updateWorkers(List.of(new WorkerInfo("llm-1", "ruwi-hall", 1, false)), 0);

        assertThat(scheduler.offer(request("a"), 0)).containsExactly(new CellEffect.Granted("a", 1, "llm-1"));
        assertThat(scheduler.offer(request("b"), 1)).isEmpty();
        assertThat(scheduler.release(1, new Completion(Completion.End.ANSWERED, 1, 2, 3), 2))
                .containsExactly(new CellEffect.Granted("b", 2, "llm-1"));
    }

    @Test
    void rejectsRequestsWhenTheQueueIsFull() {
        scheduler.offer(request("a"), 0);
        scheduler.offer(request("b"), 0);

        assertThat(scheduler.offer(request("c"), 0)).hasOnlyElementsOfType(CellEffect.Refused.class);
        assertThat(scheduler.waitingCount()).isEqualTo(2);
    }

    private static CellRequest request(String id) {
        return new CellRequest(id, TERMS, "bank", 0, 10, 0, true, 0, Set.of());
    }
}
