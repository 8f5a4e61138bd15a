package org.dotterelcourse.policy.selection;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Random;

import org.dotterelcourse.policy.performance.WorkerPerformance;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class EngineSelectorEquivalenceTest {
    private static final long SECOND = 1_000_000_000L;
    private static final int FLEETS = 400;
    private static final int PROMPTS_PER_FLEET = 40;

    // Guards against selections that differ from a full evaluation of each engine, in any mix of engines, prompts and
    // cached parts, and against another use of the random numbers.
    @Test
    void selectsTheSameEngineAsTheReference() {
        int selected = 0;
        int fetched = 0;
        int rejected = 0;
        for (int seed = 0; seed < FLEETS; seed++) {
            Random random = new Random(seed);
            CachedPrefixes prefixes = new CachedPrefixes();
            EnginePartition partition = new EnginePartition();
            TransferCost transfer =
                    random.nextInt(3) == 0 ? TransferCost.unsupported() : TransferCost.ofLink(160_000, 1_000_000);
            EngineSelector selector = new EngineSelector("dc-1", prefixes, partition, transfer, new Random(seed));
            ReferenceEngineSelector reference =
                    new ReferenceEngineSelector("dc-1", prefixes, partition, transfer, new Random(seed));
            int engines = random.nextInt(5) == 0 ? random.nextInt(4) : 4 + random.nextInt(96);
            long now = SECOND;
            for (int i = 0; i < PROMPTS_PER_FLEET; i++) {
                now += (long) (random.nextDouble() * random.nextDouble() * 10 * SECOND);
                List<WorkerLoad> workers = workers(engines, random);
                Prompt prompt = prompt(random);
                partition.recordArrival(prompt, now);
                int maxStreams = random.nextBoolean() ? Integer.MAX_VALUE : 1 + random.nextInt(40);
                SelectionResult expected = reference.choose(prompt, workers, maxStreams, now);
                assertThat(selector.choose(prompt, workers, maxStreams, now))
                        .as("seed %d, prompt %d", seed, i)
                        .isEqualTo(expected);
                if (expected instanceof SelectionResult.Selected result) {
                    selected++;
                    fetched += result.fetchSource().isPresent() ? 1 : 0;
                    prefixes.recordSent(prompt, incarnation(workers, result.id()), now);
                } else {
                    rejected++;
                }
            }
        }
        // The comparison is only meaningful if each kind of result occurs.
        assertThat(selected).isGreaterThan(5_000);
        assertThat(fetched).isGreaterThan(500);
        assertThat(rejected).isGreaterThan(200);
    }

    private static int incarnation(List<WorkerLoad> workers, String id) {
        return workers.stream()
                .filter(each -> each.id().equals(id))
                .findFirst()
                .orElseThrow()
                .incarnation();
    }

    /** Workers in random order or in that of their ranks. Some share an address, as after a restart under another id. */
    private static List<WorkerLoad> workers(int count, Random random) {
        List<WorkerLoad> workers = new ArrayList<>();
        boolean allSuspected = random.nextInt(10) == 0;
        int maxInFlight = random.nextInt(3) == 0 ? 80 : 12;
        for (int i = 0; i < count; i++) {
            int address = random.nextInt(20) == 0 ? i / 2 : i;
            String id = "engine-" + i;
            workers.add(new WorkerLoad(
                    id,
                    id.hashCode(),
                    "10.0.0." + address + ":8000",
                    "dc-" + random.nextInt(3),
                    16 + 16 * random.nextInt(2),
                    random.nextInt(maxInFlight),
                    random.nextInt(4),
                    random.nextBoolean() ? 0 : random.nextInt(3_000),
                    allSuspected || random.nextInt(12) == 0,
                    random.nextInt(4) > 0
                            ? SendPermission.UNLIMITED
                            : SendPermission.values()[random.nextInt(SendPermission.values().length)],
                    WorkerPerformance.NOMINAL,
                    ""));
        }
        if (random.nextBoolean()) {
            workers.sort(Comparator.comparingInt((WorkerLoad each) -> RankHash.hash(each.address()))
                    .thenComparing(WorkerLoad::id));
        }
        return workers;
    }

    private static Prompt prompt(Random random) {
        int shared = random.nextInt(4);
        List<Prompt.Part> parts = new ArrayList<>();
        for (int i = 0; i < shared; i++) {
            parts.add(new Prompt.Part("part-" + i + "-" + random.nextInt(4), 300 + 4_000 * i));
        }
        parts.add(new Prompt.Part("own-" + random.nextLong(), 200 + random.nextInt(4_000)));
        LatencyClass latencyClass = LatencyClass.values()[random.nextInt(LatencyClass.values().length)];
        int tokens = parts.stream().mapToInt(Prompt.Part::tokens).sum();
        return new Prompt(parts, tokens, 10 + random.nextInt(200), latencyClass);
    }
}
