package org.dotterelcourse.gateway.workers;

import java.util.List;
import java.util.Set;

import org.dotterelcourse.policy.selection.SendPermission;
import org.dotterelcourse.policy.selection.WorkerLoad;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class WorkerStatementsTest {
    private static final long SECOND = 1_000_000_000L;

    private final Workers workers = new Workers();

    @BeforeEach
    void publishWorkers() {
        workers.addOrUpdate(entry("a", 1_000, false), 0);
        workers.addOrUpdate(entry("b", 1_000, false), 0);
    }

    @Test
    void aWorkerGetsNoRequestsUntilItsBackoffHasEnded() {
        requestBackoff("a", 3_000);
        assertThat(permission("a", 0)).isEqualTo(SendPermission.BACKING_OFF);
        assertThat(permission("b", 0)).isEqualTo(SendPermission.UNLIMITED);
        assertThat(permission("a", 3 * SECOND - 1)).isEqualTo(SendPermission.BACKING_OFF);
        assertThat(permission("a", 3 * SECOND)).isEqualTo(SendPermission.UNLIMITED);
    }

    @Test
    void aRestartEndsTheBackoff() {
        requestBackoff("a", 60_000);
        workers.addOrUpdate(entry("a", 2_000, false), SECOND);
        assertThat(permission("a", SECOND)).isEqualTo(SendPermission.UNLIMITED);
    }

    // Guards against a backoff that is forgotten when the entry expires during an outage of the store and comes back.
    @Test
    void aBackoffOutlastsTheRemovalOfTheEntry() {
        requestBackoff("a", 3_000);
        workers.remove("a", 0);
        workers.addOrUpdate(entry("a", 1_000, false), SECOND);
        assertThat(permission("a", SECOND)).isEqualTo(SendPermission.BACKING_OFF);
    }

    @Test
    void theSharedBackoffEndsWithTheFirstOfAllWorkers() {
        assertThat(workers.sharedBackoffMillis("u", worker -> true, 0)).isEmpty();
        requestBackoff("a", 3_000);
        assertThat(workers.sharedBackoffMillis("u", worker -> true, 0)).isEmpty();
        requestBackoff("b", 5_000);
        assertThat(workers.sharedBackoffMillis("u", worker -> true, SECOND)).hasValue(2_000);
        assertThat(workers.sharedBackoffMillis("u", worker -> true, 3 * SECOND)).isEmpty();
        assertThat(workers.sharedBackoffMillis("other", worker -> true, SECOND)).isEmpty();
    }

    @Test
    void aLeavingWorkerDoesNotCountForTheSharedBackoff() {
        requestBackoff("a", 3_000);
        workers.addOrUpdate(entry("b", 1_000, true), 0);
        assertThat(workers.sharedBackoffMillis("u", worker -> true, 0)).hasValue(3_000);
    }

    @Test
    void aWorkerThatHasStatedThatItIsLeavingIsNoCandidateWhateverItsEntrySays() {
        workers.leavingWorkers().add(workers.find("a").orElseThrow().incarnation(), 0);
        assertThat(candidates(0)).containsExactly("b");
        workers.addOrUpdate(entry("a", 1_000, false), SECOND);
        assertThat(candidates(SECOND)).containsExactly("b");
        workers.remove("a", 0);
        workers.addOrUpdate(entry("a", 1_000, false), 2 * SECOND);
        assertThat(candidates(2 * SECOND)).containsExactly("b");
        workers.addOrUpdate(entry("a", 2_000, false), 3 * SECOND);
        assertThat(candidates(3 * SECOND)).containsExactlyInAnyOrder("a", "b");
    }

    private List<String> candidates(long nowNanos) {
        return workers.candidates("u", Set.of(), nowNanos).stream()
                .map(WorkerLoad::id)
                .toList();
    }

    private void requestBackoff(String id, long millis) {
        workers.backoffs().extend(workers.find(id).orElseThrow().incarnation(), millis, 0);
    }

    private SendPermission permission(String id, long nowNanos) {
        List<WorkerLoad> candidates = workers.candidates("u", Set.of(), nowNanos);
        return candidates.stream()
                .filter(worker -> worker.id().equals(id))
                .findAny()
                .orElseThrow()
                .sendPermission();
    }

    private static WorkerEntry entry(String id, long startMillis, boolean leaving) {
        return new WorkerEntry(id, startMillis, "u", "10.0.0." + id.hashCode(), 80, "dc", 6, leaving, 0, "");
    }
}
