package org.dotterelcourse.policy.selection;

import java.util.List;
import java.util.Random;

import org.dotterelcourse.policy.performance.WorkerPerformance;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class LeastLoadedSelectorTest {
    private final LeastLoadedSelector selector = new LeastLoadedSelector(new Random(1));

    @Test
    void theWorkerWithTheFewestCallsPerSlotIsSelected() {
        List<WorkerLoad> workers = List.of(load("small", "dc", 2, 2, false), load("large", "dc", 6, 3, false));
        assertThat(selector.select("dc", workers, 0)).contains("large");
    }

    @Test
    void aWorkerOfTheSameDataCentreIsPreferredWhileItHasAFreeSlot() {
        List<WorkerLoad> workers = List.of(load("far", "other", 6, 0, false), load("near", "dc", 6, 0, false));
        assertThat(selector.select("dc", workers, 0)).contains("near");
        List<WorkerLoad> busy = List.of(load("far", "other", 6, 0, false), load("near", "dc", 6, 6, false));
        assertThat(selector.select("dc", busy, 0)).contains("far");
    }

    // After a burst, every worker has several times as many calls as slots. A further call would take longer than its
    // latency target allows.
    @Test
    void noWorkerIsSelectedWhileAllAreAtTheLimitPerSlot() {
        List<WorkerLoad> workers = List.of(load("a", "dc", 6, 24, false), load("b", "dc", 6, 30, false));
        assertThat(selector.select("dc", workers, 0)).isEmpty();
    }

    @Test
    void aSuspectedWorkerIsSelectedOnlyIfThereAreNoOthers() {
        List<WorkerLoad> workers = List.of(load("bad", "dc", 6, 0, true), load("good", "dc", 6, 5, false));
        assertThat(selector.select("dc", workers, 0)).contains("good");
        assertThat(selector.select("dc", workers.subList(0, 1), 0)).contains("bad");
    }

    // The only idle worker is in its cold start and has received the share of this process. One more request could
    // crash it, so a suspected worker is selected instead.
    @Test
    void aDeniedWorkerIsNotSelectedEvenIfAllOthersAreSuspected() {
        WorkerLoad denied = load("cold", "dc", 0, false, SendPermission.DENIED);
        assertThat(selector.select("dc", List.of(denied), 0)).isEmpty();
        assertThat(selector.select("dc", List.of(denied, load("bad", "dc", 6, 5, true)), 0))
                .contains("bad");
        WorkerLoad rateLimited = load("open", "dc", 0, false, SendPermission.RATE_LIMITED);
        assertThat(selector.select("dc", List.of(denied, rateLimited), 0)).contains("open");
    }

    // Guards against a fallback to a worker that has asked to back off, where the others are suspected or full.
    @Test
    void aWorkerThatIsBackingOffIsNotSelectedEvenAsALastResort() {
        WorkerLoad backingOff = load("shedding", "dc", 0, false, SendPermission.BACKING_OFF);
        assertThat(selector.select("dc", List.of(backingOff), 0)).isEmpty();
        assertThat(selector.select("dc", List.of(backingOff, load("full", "dc", 6, 30, false)), 0))
                .isEmpty();
        assertThat(selector.select("dc", List.of(backingOff, load("bad", "dc", 6, 5, true)), 0))
                .contains("bad");
    }

    // By slots alone, a worker that takes twice as long would get as many calls, which then queue there.
    @Test
    void slowWorkersGetFewerCallsPerSlot() {
        WorkerLoad slow = withSlowness(load("slow", "dc", 6, 3, false), 2);
        assertThat(selector.select("dc", List.of(slow, load("busy", "dc", 6, 5, false)), 0))
                .contains("busy");
        assertThat(selector.select("dc", List.of(slow, load("full", "dc", 6, 12, false)), 0))
                .contains("slow");
        WorkerLoad idleSlow = withSlowness(load("slow", "dc", 6, 0, false), 2);
        assertThat(selector.select("dc", List.of(idleSlow, load("nominal", "dc", 6, 1, false)), 0))
                .contains("nominal");
    }

    // A fast worker rejects calls above the same number as the others do.
    @Test
    void theLimitPerSlotIsNotRaisedForFastWorkers() {
        WorkerLoad fast = withSlowness(load("fast", "dc", 6, 24, false), 0.5);
        assertThat(selector.select("dc", List.of(fast), 0)).isEmpty();
    }

    private static WorkerLoad withSlowness(WorkerLoad worker, double slowness) {
        return new WorkerLoad(
                worker.id(),
                worker.incarnation(),
                worker.address(),
                worker.dataCentre(),
                worker.slots(),
                worker.inFlight(),
                worker.interactiveStreams(),
                worker.prefillMillis(),
                worker.suspected(),
                worker.sendPermission(),
                new WorkerPerformance(slowness, 0, 0),
                "");
    }

    private static WorkerLoad load(String id, String dataCentre, int slots, int inFlight, boolean suspected) {
        return new WorkerLoad(
                id,
                id.hashCode(),
                "10.0.0.1:1",
                dataCentre,
                slots,
                inFlight,
                0,
                0,
                suspected,
                SendPermission.UNLIMITED,
                WorkerPerformance.NOMINAL,
                "");
    }

    private static WorkerLoad load(
            String id, String dataCentre, int inFlight, boolean suspected, SendPermission permission) {
        return new WorkerLoad(
                id,
                id.hashCode(),
                "10.0.0.1:1",
                dataCentre,
                6,
                inFlight,
                0,
                0,
                suspected,
                permission,
                WorkerPerformance.NOMINAL,
                "");
    }
}
