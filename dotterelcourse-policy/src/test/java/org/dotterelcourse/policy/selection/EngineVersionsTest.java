package org.dotterelcourse.policy.selection;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;

import org.dotterelcourse.policy.performance.WorkerPerformance;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests the selection among engines of several software versions. */
class EngineVersionsTest {
    private static final long SECOND = 1_000_000_000L;
    private static final int ENGINES = 6;
    private static final double BACKLOG_MILLIS = 3_000;

    private final CachedPrefixes prefixes = new CachedPrefixes();
    private final Prompt prompt = new Prompt(
            List.of(new Prompt.Part("hot", 13_000), new Prompt.Part("own", 1_000)),
            14_000,
            100,
            LatencyClass.DELAY_TOLERANT);

    // What one software version has in its memory may mean nothing to another one.
    @Test
    void partsAreNotFetchedFromAnEngineOfAnotherSoftwareVersion() {
        prefixes.recordSent(prompt, "engine-0".hashCode(), SECOND);
        assertThat(fetchSource(engines("v1", "v1"))).contains("engine-0");
        assertThat(fetchSource(engines("v1", "v2"))).isEmpty();
    }

    private Optional<String> fetchSource(List<WorkerLoad> engines) {
        EngineSelector selector = new EngineSelector(
                "dc", prefixes, new EnginePartition(), TransferCost.ofLink(160_000, 1_000_000), new Random(5));
        SelectionResult result = selector.choose(prompt, engines, Integer.MAX_VALUE, 3 * SECOND);
        return ((SelectionResult.Selected) result).fetchSource();
    }

    /** Returns engines of which the first, which has a long backlog, has another version than the others. */
    private static List<WorkerLoad> engines(String first, String others) {
        List<WorkerLoad> engines = new ArrayList<>();
        for (int i = 0; i < ENGINES; i++) {
            String id = "engine-" + i;
            engines.add(new WorkerLoad(
                    id,
                    id.hashCode(),
                    "10.0.0." + i + ":8000",
                    "dc",
                    64,
                    i == 0 ? 20 : 0,
                    0,
                    i == 0 ? BACKLOG_MILLIS : 0,
                    false,
                    SendPermission.UNLIMITED,
                    WorkerPerformance.NOMINAL,
                    i == 0 ? first : others));
        }
        return engines;
    }
}
