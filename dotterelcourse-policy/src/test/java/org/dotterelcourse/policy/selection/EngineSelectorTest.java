package org.dotterelcourse.policy.selection;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class EngineSelectorTest {
    private static final int ENGINES = 12;
    private static final long SECOND = 1_000_000_000L;

    private final CachedPrefixes prefixes = new CachedPrefixes();
    private final EnginePartition split = new EnginePartition();
    private final EngineSelector selector = selector(1, prefixes);

    // Eight processes route prompts that begin with the same long part. If each had an engine of its own for it, eight
    // engines would read it, and the streams on all of them would stutter meanwhile.
    @Test
    void processesThatKnowNothingOfEachOtherSendAPartToTheSameEngine() {
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

    // A long prompt holds up every step of its engine by some 50 ms; a stream with short pauses beside it is late.
    @Test
    void longPromptsAndStreamsWithShortPausesDoNotMeet() {
        Map<String, LatencyClass> users = new HashMap<>();
        List<WorkerLoad> engines = idle(ENGINES);
        for (int i = 0; i < 200; i++) {
            LatencyClass latencyClass = i % 2 == 0 ? LatencyClass.DELAY_TOLERANT : LatencyClass.GAP_SENSITIVE;
            String engine = selector.select(prompt("p" + i, latencyClass), engines, SECOND)
                    .orElseThrow();
            assertThat(users.putIfAbsent(engine, latencyClass)).isIn(null, latencyClass);
        }
    }

    // One process has just failed to reach an engine, another one has not tried. If the first counted it out of the
    // ranks, all parts would have other homes there than elsewhere, and be read again.
    @Test
    void aSuspectedEngineChangesTheHomesOfNoOtherEnginesParts() {
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

    // An engine crashes and starts again: same address, new name. Nothing else has changed, and nothing else may move.
    @Test
    void anEngineThatStartsAgainAtItsAddressKeepsItsParts() {
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

    // Everybody asks for the same text at once. Waiting seconds at its engine makes every one of them late.
    @Test
    void aPartWhoseEngineIsFarBehindIsReadAgainElsewhere() {
        List<WorkerLoad> engines = idle(ENGINES);
        Prompt prompt = prompt("hot", LatencyClass.DELAY_TOLERANT);
        String home = selector.select(prompt, engines, SECOND).orElseThrow();
        List<WorkerLoad> busy = engines.stream()
                .map(each -> each.id().equals(home) ? load(home, each.address(), 20, 3_000, false) : each)
                .toList();
        assertThat(selector.select(prompt, busy, SECOND)).isPresent().get().isNotEqualTo(home);
    }

    // A burst of prompts with parts that no engine has read yet: each engine is behind by another amount. Were a prompt
    // free to go wherever the queue is shortest, most engines would read the same parts, and everybody would wait
    // longer.
    @Test
    void inABurstThePartsAreReadAtAFewEnginesOnly() {
        Random random = new Random(7);
        Set<String> readers = new HashSet<>();
        for (int i = 0; i < 200; i++) {
            List<WorkerLoad> behind = idle(60).stream()
                    .map(each -> load(each.id(), each.address(), 5, random.nextInt(3_000), false))
                    .toList();
            Prompt prompt = prompt("new", LatencyClass.DELAY_TOLERANT);
            readers.add(selector.select(prompt, behind, SECOND).orElseThrow());
        }
        assertThat(readers).hasSizeLessThanOrEqualTo(3);
    }

    // The mix has changed and the engine that has read a part is now for streams of another pace. A prompt of which
    // only
    // the end is to be read holds those up little, and reading all of it elsewhere would take four times as long.
    @Test
    void aPartThatWasReadIsUsedAlsoWhereItsEngineIsForAnotherPaceNow() {
        List<WorkerLoad> engines = idle(ENGINES);
        Prompt prompt = prompt("part", LatencyClass.DELAY_TOLERANT);
        String first = selector.select(prompt, engines, SECOND).orElseThrow();
        prefixes.recordSent(prompt, first.hashCode(), SECOND);
        EnginePartition changed = new EnginePartition();
        changed.recordPeerWork("peer", true, new LatencyClassWork(new double[] {20_000, 20_000, 1_000}), SECOND);
        EngineSelector after = new EngineSelector("dc", prefixes, changed, TransferCost.unsupported(), new Random(3));
        assertThat(after.select(prompt, engines, 2 * SECOND)).contains(first);
    }

    @Test
    void suspectedEnginesAreUsedWhereThereAreNoOthers() {
        List<WorkerLoad> engines = List.of(load("a", "10.0.0.1:1", 0, 0, true), load("b", "10.0.0.2:1", 0, 0, true));
        assertThat(selector.select(prompt("p", LatencyClass.START_SENSITIVE), engines, SECOND))
                .isPresent();
        assertThat(selector.select(prompt("p", LatencyClass.START_SENSITIVE), List.of(), SECOND))
                .isEmpty();
    }

    @Test
    void aPromptGoesWhereItsPartsHaveBeenReadThoughThatIsNotTheirHome() {
        List<WorkerLoad> engines = idle(ENGINES);
        Prompt prompt = prompt("part", LatencyClass.START_SENSITIVE);
        String home = selector.select(prompt, engines, SECOND).orElseThrow();
        prefixes.recordSent(prompt, home.hashCode(), SECOND);
        assertThat(prefixes.cachedTokens(prompt, home.hashCode(), 2 * SECOND)).isEqualTo(13_000);
        assertThat(prefixes.cachedTokens(prompt, home.hashCode(), 100 * SECOND)).isZero();
    }

    // The engine that has read a long part is far behind. Another one that is idle can fetch the part in some
    // milliseconds, where reading it again would take it two hundred.
    @Test
    void anIdleEngineFetchesWhatABusyOneHasRead() {
        List<WorkerLoad> engines = idle(ENGINES);
        Prompt prompt = prompt("hot", LatencyClass.DELAY_TOLERANT);
        String home = selector.select(prompt, engines, SECOND).orElseThrow();
        prefixes.recordSent(prompt, home.hashCode(), SECOND);
        List<WorkerLoad> busy = withLoad(engines, home, 20, 3_000, false);
        assertThat(fetching().choose(prompt, busy, Integer.MAX_VALUE, 3 * SECOND))
                .isInstanceOfSatisfying(SelectionResult.Selected.class, choice -> {
                    assertThat(choice.id()).isNotEqualTo(home);
                    assertThat(choice.fetchSource()).contains(home);
                    assertThat(choice.cachedTokens()).isEqualTo(13_000);
                });
    }

    // A prompt was sent there a moment ago and may still wait. Whoever fetches from there now gets nothing.
    @Test
    void nothingIsFetchedThatMayNotHaveBeenReadYet() {
        List<WorkerLoad> engines = idle(ENGINES);
        Prompt prompt = prompt("hot", LatencyClass.DELAY_TOLERANT);
        prefixes.recordSent(prompt, engines.get(0).incarnation(), 3 * SECOND);
        List<WorkerLoad> busy = withLoad(engines, engines.get(0).id(), 20, 3_000, false);
        assertThat(source(prompt, busy, 3 * SECOND + SECOND / 10)).isEmpty();
        assertThat(source(prompt, busy, 5 * SECOND)).isPresent();
    }

    // An engine that has gone silent keeps everybody waiting who fetches from it.
    @Test
    void nothingIsFetchedFromASuspectedEngine() {
        List<WorkerLoad> engines = idle(ENGINES);
        Prompt prompt = prompt("hot", LatencyClass.DELAY_TOLERANT);
        prefixes.recordSent(prompt, engines.get(0).incarnation(), SECOND);
        List<WorkerLoad> suspected = withLoad(engines, engines.get(0).id(), 0, 0, true);
        assertThat(source(prompt, suspected, 3 * SECOND)).isEmpty();
    }

    @Test
    void aPartIsUsedWhereItIsRatherThanFetchedWhileNobodyWaitsThere() {
        List<WorkerLoad> engines = idle(ENGINES);
        Prompt prompt = prompt("part", LatencyClass.DELAY_TOLERANT);
        String home = selector.select(prompt, engines, SECOND).orElseThrow();
        prefixes.recordSent(prompt, home.hashCode(), SECOND);
        assertThat(fetching().choose(prompt, engines, Integer.MAX_VALUE, 3 * SECOND))
                .isInstanceOfSatisfying(SelectionResult.Selected.class, choice -> {
                    assertThat(choice.id()).isEqualTo(home);
                    assertThat(choice.fetchSource()).isEmpty();
                });
    }

    @Test
    void onlyEnginesWithRoomAreChosenAndFullOnesAreToldApartFromNone() {
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
                        choice -> assertThat(choice.id()).isEqualTo(full.get(3).id()));
    }

    private EngineSelector fetching() {
        TransferCost transfer = TransferCost.ofLink(160_000, 1_000_000);
        return new EngineSelector("dc", prefixes, split, transfer, new Random(5));
    }

    private Optional<String> source(Prompt prompt, List<WorkerLoad> engines, long nowNanos) {
        SelectionResult choice = fetching().choose(prompt, engines, Integer.MAX_VALUE, nowNanos);
        return ((SelectionResult.Selected) choice).fetchSource();
    }

    private static List<WorkerLoad> withLoad(
            List<WorkerLoad> engines, String id, int inFlight, double prefill, boolean suspected) {
        return engines.stream()
                .map(each -> each.id().equals(id) ? load(id, each.address(), inFlight, prefill, suspected) : each)
                .toList();
    }

    // An engine is cold, and another process may send it a request where this one may not. Both must agree on the homes
    // of
    // all parts, and nothing may go to the engine from here.
    @Test
    void aClosedEngineGetsNothingAndKeepsItsPlaceAmongTheOthers() {
        List<WorkerLoad> open = idle(9);
        for (int i = 0; i < 40; i++) {
            Prompt prompt = prompt("part-" + i, LatencyClass.DELAY_TOLERANT);
            String home =
                    selector(1, new CachedPrefixes()).select(prompt, open, 0).orElseThrow();
            String other = selector(1, new CachedPrefixes())
                    .select(prompt, closed(open, "engine-0"), 0)
                    .orElseThrow();
            assertThat(other).isNotEqualTo("engine-0");
            if (!home.equals("engine-0")) {
                assertThat(other).isEqualTo(home);
            }
        }
        assertThat(selector(1, new CachedPrefixes())
                        .choose(
                                prompt("p", LatencyClass.START_SENSITIVE),
                                closed(idle(1), "engine-0"),
                                Integer.MAX_VALUE,
                                0))
                .isInstanceOf(SelectionResult.NoCapacity.class);
    }

    private static List<WorkerLoad> closed(List<WorkerLoad> engines, String id) {
        return engines.stream()
                .map(each -> each.id().equals(id) ? closed(each) : each)
                .toList();
    }

    private static WorkerLoad closed(WorkerLoad engine) {
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
                SendPermission.DENIED);
    }

    private EngineSelector selector(long seed, CachedPrefixes cached) {
        return new EngineSelector("dc", cached, split, TransferCost.unsupported(), new Random(seed));
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
                id, id.hashCode(), address, "dc", 64, inFlight, 0, prefill, suspected, SendPermission.UNLIMITED);
    }
}
