package org.dotterelcourse.policy.selection;

import java.util.List;
import java.util.Random;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class LeastLoadedSelectorTest {
    private final LeastLoadedSelector selector = new LeastLoadedSelector(new Random(1));

    @Test
    void theWorkerWithTheFewestCallsPerSlotIsChosen() {
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

    // A burst has filled every worker several times over. A call that is sent on now waits longer than its caller does.
    @Test
    void noWorkerIsChosenWhileAllAreFullSeveralTimesOver() {
        List<WorkerLoad> workers = List.of(load("a", "dc", 6, 24, false), load("b", "dc", 6, 30, false));
        assertThat(selector.select("dc", workers, 0)).isEmpty();
    }

    @Test
    void aSuspectedWorkerIsLeftOutUnlessThereAreNoOthers() {
        List<WorkerLoad> workers = List.of(load("bad", "dc", 6, 0, true), load("good", "dc", 6, 5, false));
        assertThat(selector.select("dc", workers, 0)).contains("good");
        assertThat(selector.select("dc", workers.subList(0, 1), 0)).contains("bad");
    }

    // The only idle worker is cold and has had its part from this process. One more request could crash it; one that is
    // suspected is tried first.
    @Test
    void aClosedWorkerGetsNothingThoughAllOthersAreSuspected() {
        WorkerLoad closed = load("cold", "dc", 0, false, SendPermission.DENIED);
        assertThat(selector.select("dc", List.of(closed), 0)).isEmpty();
        assertThat(selector.select("dc", List.of(closed, load("bad", "dc", 6, 5, true)), 0))
                .contains("bad");
        WorkerLoad open = load("open", "dc", 0, false, SendPermission.RATE_LIMITED);
        assertThat(selector.select("dc", List.of(closed, open), 0)).contains("open");
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
                SendPermission.UNLIMITED);
    }

    private static WorkerLoad load(
            String id, String dataCentre, int inFlight, boolean suspected, SendPermission state) {
        return new WorkerLoad(id, id.hashCode(), "10.0.0.1:1", dataCentre, 6, inFlight, 0, 0, suspected, state);
    }
}
