package org.dotterelcourse.policy.selection;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;

import org.dotterelcourse.policy.performance.WorkerPerformance;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class EngineSelectorTest {
    private static final int ENGINES = 12;
    private static final long SECOND = 1_000_000_000L;

    private final CachedPrefixes prefixes = new CachedPrefixes();
    private final EnginePartition partition = new EnginePartition();
    private final EngineSelector selector = selector(1, prefixes);

    // Eight processes route prompts that begin with the same long part. If each selected a different engine,
    // eight engines would read the part, and the gaps between events would grow for the streams on all of them.
    @Test
    void processesWithoutExchangeSelectTheSameEngineForAPart() {
        List<WorkerLoad> engines = idle(ENGINES);
        for (int part = 0; part < 50; part++) {
            Prompt prompt = prompt("part-" + part, LatencyClass.DELAY_TOLERANT);
            String first = selector.select(prompt, engines, SECOND).orElseThrow();
            String second = selector(2, new CachedPrefixes())
                    .select(prompt, engines, SECOND)
                    .orElseThrow();
            assertThat(second).isEqualTo(first);
        }
    }

    // A long prompt lengthens the steps of its engine by about 50 ms, which makes gap-sensitive streams on the same
    // engine late.
    @Test
    void longPromptsAndGapSensitiveStreamsUseDifferentEngines() {
        Map<String, LatencyClass> classByEngine = new HashMap<>();
        List<WorkerLoad> engines = idle(ENGINES);
        for (int i = 0; i < 200; i++) {
            LatencyClass latencyClass = i % 2 == 0 ? LatencyClass.DELAY_TOLERANT : LatencyClass.GAP_SENSITIVE;
            String engine = selector.select(prompt("p" + i, latencyClass), engines, SECOND)
                    .orElseThrow();
            assertThat(classByEngine.putIfAbsent(engine, latencyClass)).isIn(null, latencyClass);
        }
    }

    // One process has just failed to reach an engine, another has not tried. If the first removed the engine from the
    // ranking, the preferred engines of all parts would differ between the two, and the parts would be read again.
    @Test
    void aSuspectedEngineDoesNotMovePartsOfOtherEngines() {
        List<WorkerLoad> engines = idle(ENGINES);
        List<WorkerLoad> oneSuspected = new ArrayList<>(engines);
        WorkerLoad suspect = engines.get(5);
        oneSuspected.set(5, load(suspect.id(), suspect.address(), 0, 0, true));
        for (int part = 0; part < 50; part++) {
            Prompt prompt = prompt("part-" + part, LatencyClass.DELAY_TOLERANT);
            String before = selector.select(prompt, engines, SECOND).orElseThrow();
            String after = selector.select(prompt, oneSuspected, SECOND).orElseThrow();
            if (before.equals(suspect.id())) {
                assertThat(after).isNotEqualTo(before);
            } else {
                assertThat(after).isEqualTo(before);
            }
        }
    }

    // An engine crashes and restarts at the same address under a new id. No part may move to another engine.
    @Test
    void anEngineThatRestartsAtTheSameAddressKeepsItsParts() {
        List<WorkerLoad> engines = idle(ENGINES);
        List<WorkerLoad> restarted = new ArrayList<>(engines);
        restarted.set(7, load("another-name", engines.get(7).address(), 0, 0, false));
        for (int part = 0; part < 50; part++) {
            Prompt prompt = prompt("part-" + part, LatencyClass.DELAY_TOLERANT);
            String before = selector.select(prompt, engines, SECOND).orElseThrow();
            String after = selector.select(prompt, restarted, SECOND).orElseThrow();
            assertThat(after).isEqualTo(before.equals(engines.get(7).id()) ? "another-name" : before);
        }
    }

    // Many clients send the same text at once. If all of them waited seconds for its engine, all would be late.
    @Test
    void aPartIsReadAgainElsewhereIfItsEngineHasALongBacklog() {
        List<WorkerLoad> engines = idle(ENGINES);
        Prompt prompt = prompt("hot", LatencyClass.DELAY_TOLERANT);
        String preferred = selector.select(prompt, engines, SECOND).orElseThrow();
        List<WorkerLoad> busy = engines.stream()
                .map(each -> each.id().equals(preferred) ? load(preferred, each.address(), 20, 3_000, false) : each)
                .toList();
        assertThat(selector.select(prompt, busy, SECOND)).isPresent().get().isNotEqualTo(preferred);
    }

    // A burst of prompts with parts that no engine has read yet meets engines with different backlogs. If each prompt
    // went to the engine with the shortest queue, most engines would read the same parts and all requests would wait
    // longer.
    @Test
    void inABurstAPartIsReadOnFewEnginesOnly() {
        Random random = new Random(7);
        Set<String> readingEngines = new HashSet<>();
        for (int i = 0; i < 200; i++) {
            List<WorkerLoad> busy = idle(60).stream()
                    .map(each -> load(each.id(), each.address(), 5, random.nextInt(3_000), false))
                    .toList();
            Prompt prompt = prompt("new", LatencyClass.DELAY_TOLERANT);
            readingEngines.add(selector.select(prompt, busy, SECOND).orElseThrow());
        }
        assertThat(readingEngines).hasSizeLessThanOrEqualTo(3);
    }

    // The traffic mix has changed and the engine that has a part in its cache now serves another latency class. A
    // prompt of which only the end has to be read delays the streams there little, and reading all of it elsewhere
    // would take four times as long.
    @Test
    void aCachedPartIsUsedEvenIfItsEngineNowServesAnotherClass() {
        List<WorkerLoad> engines = idle(ENGINES);
        Prompt prompt = prompt("part", LatencyClass.DELAY_TOLERANT);
        String first = selector.select(prompt, engines, SECOND).orElseThrow();
        prefixes.recordSent(prompt, first.hashCode(), SECOND);
        EnginePartition changedPartition = new EnginePartition();
        changedPartition.recordPeerWork(
                "peer", true, new LatencyClassWork(new double[] {20_000, 20_000, 1_000}), SECOND);
        EngineSelector selectorAfterChange =
                new EngineSelector("dc", prefixes, changedPartition, TransferCost.unsupported(), new Random(3));
        assertThat(selectorAfterChange.select(prompt, engines, 2 * SECOND)).contains(first);
    }

    @Test
    void suspectedEnginesAreUsedIfThereAreNoOthers() {
        List<WorkerLoad> engines = List.of(load("a", "10.0.0.1:1", 0, 0, true), load("b", "10.0.0.2:1", 0, 0, true));
        assertThat(selector.select(prompt("p", LatencyClass.START_SENSITIVE), engines, SECOND))
                .isPresent();
        assertThat(selector.select(prompt("p", LatencyClass.START_SENSITIVE), List.of(), SECOND))
                .isEmpty();
    }

    @Test
    void cachedTokensExpireAfterTheRetentionPeriod() {
        List<WorkerLoad> engines = idle(ENGINES);
        Prompt prompt = prompt("part", LatencyClass.START_SENSITIVE);
        String preferred = selector.select(prompt, engines, SECOND).orElseThrow();
        prefixes.recordSent(prompt, preferred.hashCode(), SECOND);
        assertThat(prefixes.cachedTokens(prompt, preferred.hashCode(), 2 * SECOND))
                .isEqualTo(13_000);
        assertThat(prefixes.cachedTokens(prompt, preferred.hashCode(), 100 * SECOND))
                .isZero();
    }

    // The engine that has a long part in its cache has a long backlog. An idle engine can fetch the part in a few
    // milliseconds, while reading it again would take two hundred.
    @Test
    void anIdleEngineFetchesPartsFromABusyEngine() {
        List<WorkerLoad> engines = idle(ENGINES);
        Prompt prompt = prompt("hot", LatencyClass.DELAY_TOLERANT);
        String preferred = selector.select(prompt, engines, SECOND).orElseThrow();
        prefixes.recordSent(prompt, preferred.hashCode(), SECOND);
        List<WorkerLoad> busy = withLoad(engines, preferred, 20, 3_000, false);
        assertThat(fetchingSelector().choose(prompt, busy, Integer.MAX_VALUE, 3 * SECOND))
                .isInstanceOfSatisfying(SelectionResult.Selected.class, selected -> {
                    assertThat(selected.id()).isNotEqualTo(preferred);
                    assertThat(selected.fetchSource()).contains(preferred);
                    assertThat(selected.cachedTokens()).isEqualTo(13_000);
                });
    }

    // A prompt was sent to an engine a moment ago and may still be queued there. A fetch from that engine would return
    // nothing.
    @Test
    void partsThatMayNotHaveBeenReadYetAreNotFetched() {
        List<WorkerLoad> engines = idle(ENGINES);
        Prompt prompt = prompt("hot", LatencyClass.DELAY_TOLERANT);
        prefixes.recordSent(prompt, engines.get(0).incarnation(), 3 * SECOND);
        List<WorkerLoad> busy = withLoad(engines, engines.get(0).id(), 20, 3_000, false);
        assertThat(fetchSource(prompt, busy, 3 * SECOND + SECOND / 10)).isEmpty();
        assertThat(fetchSource(prompt, busy, 5 * SECOND)).isPresent();
    }

    // An engine that does not respond delays every request that fetches from it.
    @Test
    void partsAreNotFetchedFromASuspectedEngine() {
        List<WorkerLoad> engines = idle(ENGINES);
        Prompt prompt = prompt("hot", LatencyClass.DELAY_TOLERANT);
        prefixes.recordSent(prompt, engines.get(0).incarnation(), SECOND);
        List<WorkerLoad> suspected = withLoad(engines, engines.get(0).id(), 0, 0, true);
        assertThat(fetchSource(prompt, suspected, 3 * SECOND)).isEmpty();
    }

    @Test
    void aPartIsNotFetchedWhileItsEngineIsIdle() {
        List<WorkerLoad> engines = idle(ENGINES);
        Prompt prompt = prompt("part", LatencyClass.DELAY_TOLERANT);
        String preferred = selector.select(prompt, engines, SECOND).orElseThrow();
        prefixes.recordSent(prompt, preferred.hashCode(), SECOND);
        assertThat(fetchingSelector().choose(prompt, engines, Integer.MAX_VALUE, 3 * SECOND))
                .isInstanceOfSatisfying(SelectionResult.Selected.class, selected -> {
                    assertThat(selected.id()).isEqualTo(preferred);
                    assertThat(selected.fetchSource()).isEmpty();
                });
    }

    @Test
    void onlyEnginesWithCapacityAreSelectedAndTheResultSaysWhetherEnginesExist() {
        Prompt prompt = prompt("p", LatencyClass.DELAY_TOLERANT);
        List<WorkerLoad> full = idle(ENGINES).stream()
                .map(each -> load(each.id(), each.address(), 20, 0, false))
                .toList();
        assertThat(selector.choose(prompt, full, 20, SECOND)).isEqualTo(new SelectionResult.NoCapacity());
        assertThat(selector.choose(prompt, List.of(), 20, SECOND)).isEqualTo(new SelectionResult.NoEngine());
        List<WorkerLoad> oneFree = withLoad(full, full.get(3).id(), 19, 0, false);
        assertThat(selector.choose(prompt, oneFree, 20, SECOND))
                .isInstanceOfSatisfying(
                        SelectionResult.Selected.class,
                        selected ->
                                assertThat(selected.id()).isEqualTo(full.get(3).id()));
    }

    private EngineSelector fetchingSelector() {
        TransferCost transferCost = TransferCost.ofLink(160_000, 1_000_000);
        return new EngineSelector("dc", prefixes, partition, transferCost, new Random(5));
    }

    private Optional<String> fetchSource(Prompt prompt, List<WorkerLoad> engines, long nowNanos) {
        SelectionResult result = fetchingSelector().choose(prompt, engines, Integer.MAX_VALUE, nowNanos);
        return ((SelectionResult.Selected) result).fetchSource();
    }

    private static List<WorkerLoad> withLoad(
            List<WorkerLoad> engines, String id, int inFlight, double prefill, boolean suspected) {
        return engines.stream()
                .map(each -> each.id().equals(id) ? load(id, each.address(), inFlight, prefill, suspected) : each)
                .toList();
    }

    // An engine is in its cold start, and another process may send it a request while this one may not. Both must
    // determine the same preferred engines for all parts, and this process must not send to the engine.
    @Test
    void aDeniedEngineIsNotSelectedAndKeepsItsRank() {
        List<WorkerLoad> engines = idle(9);
        for (int i = 0; i < 40; i++) {
            Prompt prompt = prompt("part-" + i, LatencyClass.DELAY_TOLERANT);
            String preferred =
                    selector(1, new CachedPrefixes()).select(prompt, engines, 0).orElseThrow();
            String selected = selector(1, new CachedPrefixes())
                    .select(prompt, denied(engines, "engine-0"), 0)
                    .orElseThrow();
            assertThat(selected).isNotEqualTo("engine-0");
            if (!preferred.equals("engine-0")) {
                assertThat(selected).isEqualTo(preferred);
            }
        }
        assertThat(selector(1, new CachedPrefixes())
                        .choose(
                                prompt("p", LatencyClass.START_SENSITIVE),
                                denied(idle(1), "engine-0"),
                                Integer.MAX_VALUE,
                                0))
                .isInstanceOf(SelectionResult.NoCapacity.class);
    }

    // Guards against load on an engine that has asked to back off, through other engines that fetch from it.
    @Test
    void anEngineThatIsBackingOffIsNeitherSelectedNorFetchedFrom() {
        List<WorkerLoad> engines = idle(ENGINES);
        Prompt prompt = prompt("hot", LatencyClass.DELAY_TOLERANT);
        String holder = engines.get(0).id();
        prefixes.recordSent(prompt, engines.get(0).incarnation(), SECOND);
        assertThat(fetchSource(prompt, withPermission(engines, holder, SendPermission.DENIED), 3 * SECOND))
                .contains(holder);
        List<WorkerLoad> backingOff = withPermission(engines, holder, SendPermission.BACKING_OFF);
        assertThat(fetchSource(prompt, backingOff, 3 * SECOND)).isEmpty();
        assertThat(selector.select(prompt, backingOff, 3 * SECOND)).isPresent().isNotEqualTo(Optional.of(holder));
        assertThat(selector.select(prompt, withPermission(idle(1), holder, SendPermission.BACKING_OFF), SECOND))
                .isEmpty();
    }

    // A prompt takes twice as long on a slow engine, and so do the prompts that are read before it.
    @Test
    void slowEnginesGetFewerPrompts() {
        int slowSelected = 0;
        for (int seed = 0; seed < 200; seed++) {
            List<WorkerLoad> engines = new ArrayList<>();
            for (int i = 0; i < 12; i++) {
                WorkerLoad slow = withSlowness(load("slow-" + i, "10.0.0." + i + ":8000", 4, 0, false), 2);
                engines.add(i % 2 == 0 ? slow : load("nominal-" + i, "10.0.0." + i + ":8000", 10, 100, false));
            }
            Prompt prompt = new Prompt(List.of(new Prompt.Part("own", 9_000)), 9_000, 100, LatencyClass.DELAY_TOLERANT);
            String id = selector(seed, new CachedPrefixes())
                    .select(prompt, engines, 1)
                    .orElseThrow();
            slowSelected += id.startsWith("slow") ? 1 : 0;
        }
        assertThat(slowSelected).isZero();
    }

    // The limit of streams holds for an engine of nominal speed.
    @Test
    void slowEnginesTakeFewerStreams() {
        EngineSelector seeded = selector(1, new CachedPrefixes());
        WorkerLoad slow = withSlowness(load("slow", "10.0.0.1:8000", 6, 0, false), 2);
        assertThat(seeded.choose(prompt("a", LatencyClass.DELAY_TOLERANT), List.of(slow), 12, 1))
                .isInstanceOf(SelectionResult.NoCapacity.class);
        assertThat(seeded.choose(prompt("a", LatencyClass.DELAY_TOLERANT), List.of(slow), 14, 1))
                .isInstanceOf(SelectionResult.Selected.class);
    }

    private static WorkerLoad withSlowness(WorkerLoad engine, double slowness) {
        return new WorkerLoad(
                engine.id(),
                engine.incarnation(),
                engine.address(),
                engine.dataCentre(),
                engine.slots(),
                engine.inFlight(),
                engine.interactiveStreams(),
                engine.prefillMillis(),
                engine.suspected(),
                engine.sendPermission(),
                new WorkerPerformance(slowness, 0, 0),
                "");
    }

    private static List<WorkerLoad> denied(List<WorkerLoad> engines, String id) {
        return withPermission(engines, id, SendPermission.DENIED);
    }

    private static List<WorkerLoad> withPermission(List<WorkerLoad> engines, String id, SendPermission permission) {
        return engines.stream()
                .map(each -> each.id().equals(id) ? withPermission(each, permission) : each)
                .toList();
    }

    private static WorkerLoad withPermission(WorkerLoad engine, SendPermission permission) {
        return new WorkerLoad(
                engine.id(),
                engine.incarnation(),
                engine.address(),
                engine.dataCentre(),
                engine.slots(),
                engine.inFlight(),
                engine.interactiveStreams(),
                engine.prefillMillis(),
                engine.suspected(),
                permission,
                WorkerPerformance.NOMINAL,
                "");
    }

    private EngineSelector selector(long seed, CachedPrefixes cached) {
        return new EngineSelector("dc", cached, partition, TransferCost.unsupported(), new Random(seed));
    }

    private static Prompt prompt(String part, LatencyClass latencyClass) {
        return new Prompt(
                List.of(new Prompt.Part(part, 13_000), new Prompt.Part(part + "-own", 1_000)),
                14_000,
                100,
                latencyClass);
    }

    private static List<WorkerLoad> idle(int count) {
        List<WorkerLoad> engines = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            engines.add(load("engine-" + i, "10.0.0." + i + ":8000", 0, 0, false));
        }
        return engines;
    }

    private static WorkerLoad load(String id, String address, int inFlight, double prefill, boolean suspected) {
        return new WorkerLoad(
                id,
                id.hashCode(),
                address,
                "dc",
                64,
                inFlight,
                0,
                prefill,
                suspected,
                SendPermission.UNLIMITED,
                WorkerPerformance.NOMINAL,
                "");
    }
}
