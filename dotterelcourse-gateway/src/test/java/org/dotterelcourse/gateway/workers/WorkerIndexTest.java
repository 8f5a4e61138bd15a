package org.dotterelcourse.gateway.workers;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;

import org.dotterelcourse.policy.cold.ColdStart;
import org.dotterelcourse.policy.selection.WorkerLoad;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/** The set of workers changes between two requests; each request must see the workers as they are then. */
class WorkerIndexTest {
    private static final int CHANGES = 4_000;
    private static final int IDS = 30;

    private final Workers workers = new Workers();
    private final Map<String, WorkerEntry> published = new HashMap<>();
    private final Map<String, Integer> startOrder = new HashMap<>();

    // Guards against an index that misses a change: a request would then be sent to a worker that is leaving, gone,
    // evacuated or replaced, or a new worker would get none.
    @Test
    void candidatesFollowEachChangeOfTheWorkers() {
        Random random = new Random(11);
        Set<String> configured = Set.of("engines", "service");
        workers.configureUpstreams(configured::contains, upstream -> ColdStart.none());
        String evacuated = "";
        int found = 0;
        for (int i = 0; i < CHANGES; i++) {
            switch (random.nextInt(6)) {
                case 0 -> {
                    String id = "w-" + random.nextInt(IDS);
                    workers.remove(id, 0);
                    published.remove(id);
                }
                case 1 -> {
                    workers.endEvacuation(evacuated, i);
                    evacuated = random.nextBoolean() ? "dc-" + random.nextInt(4) : "";
                    workers.evacuate(evacuated);
                }
                case 2 -> {
                    String id = "w-" + random.nextInt(IDS);
                    if (random.nextInt(4) == 0 && published.containsKey(id)) {
                        workers.leavingWorkers().add(published.get(id).incarnation(), i);
                    }
                }
                default -> publish("w-" + random.nextInt(IDS), i, random);
            }
            for (String upstream : List.of("engines", "service", "unconfigured")) {
                List<WorkerLoad> candidates = workers.candidates(upstream, Set.of(), i);
                assertThat(candidates)
                        .as("upstream %s after change %d", upstream, i)
                        .extracting(WorkerLoad::id)
                        .containsExactlyInAnyOrderElementsOf(expected(upstream, configured, evacuated));
                found += candidates.size();
            }
        }
        assertThat(found).isGreaterThan(CHANGES);
    }

    private void publish(String id, int nowNanos, Random random) {
        WorkerEntry before = published.get(id);
        boolean restarts = before == null || random.nextInt(3) == 0;
        WorkerEntry entry = new WorkerEntry(
                id,
                restarts ? nowNanos + 1 : before.startMillis(),
                List.of("engines", "service", "unconfigured").get(random.nextInt(3)),
                "10.0.0." + random.nextInt(IDS),
                8_000,
                "dc-" + random.nextInt(4),
                1 + random.nextInt(8),
                random.nextInt(8) == 0,
                0,
                "");
        workers.addOrUpdate(entry, nowNanos);
        published.put(id, !restarts && before.leaving() ? entry.toLeaving() : entry);
        if (restarts) {
            startOrder.put(id, nowNanos);
        }
    }

    private List<String> expected(String upstream, Set<String> configured, String evacuated) {
        return published.values().stream()
                .filter(entry -> entry.upstream().equals(upstream)
                        && !workers.isLeaving(entry)
                        && !entry.dataCentre().equals(evacuated)
                        && published.values().stream().noneMatch(other -> isReplacedBy(entry, other, configured)))
                .map(WorkerEntry::id)
                .toList();
    }

    private boolean isReplacedBy(WorkerEntry entry, WorkerEntry other, Set<String> configured) {
        return other != entry
                && configured.contains(other.upstream())
                && other.address().equals(entry.address())
                && (!configured.contains(entry.upstream()) || startOrder.get(other.id()) > startOrder.get(entry.id()));
    }
}
