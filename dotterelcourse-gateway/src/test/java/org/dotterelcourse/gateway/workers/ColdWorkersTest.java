package org.dotterelcourse.gateway.workers;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.stream.IntStream;

import org.dotterelcourse.policy.cold.ColdStart;
import org.dotterelcourse.policy.selection.SendPermission;
import org.dotterelcourse.policy.selection.WorkerLoad;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/** What a fleet sends to a worker that is cold, each process deciding by itself and hearing nothing of the others. */
class ColdWorkersTest {
    private static final long MILLI = 1_000_000L;
    private static final long SECOND = 1_000 * MILLI;
    private static final ColdStart COLD_START = new ColdStart(3_000, 5.9);

    /** Of the deployment that asks for the most care: 1.5 times what a worker bears in a second and five more. */
    private static final double BOUND = 5.9 * 1.5 + 5;

    private static final int PROCESSES = 60;

    private final List<Workers> fleet = new ArrayList<>();
    private final List<Long> sent = new ArrayList<>();

    // An engine comes back after a crash, idle and cold, while sixty processes have more requests than the other
    // engines
    // take. If each sent it what fits it best, it would crash again at once, with all that it had been given.
    @Test
    void aWorkerThatCameBackGetsNoMoreThanItBears() {
        start(PROCESSES, 0);
        publish(3_000, 5 * SECOND);
        pressUntil(8 * SECOND, 5 * SECOND);
        assertThat(busiestSecond()).isBetween(4, 5);
    }

    // A network partition cuts the fleet in two, and each half takes the other one for dead.
    @Test
    void twoHalvesOfAFleetStayBelowTheBoundTogether() {
        start(PROCESSES, 0);
        List<String> first = names(0, PROCESSES / 2);
        List<String> second = names(PROCESSES / 2, PROCESSES);
        for (int i = 0; i < PROCESSES; i++) {
            List<String> half = i < PROCESSES / 2 ? first : second;
            fleet.get(i).fleet(name(i), without(half, name(i)), 5 * SECOND);
        }
        publish(3_000, 6 * SECOND);
        pressUntil(9 * SECOND, 6 * SECOND);
        assertThat((double) busiestSecond()).isPositive().isLessThan(BOUND);
    }

    // All processes lose power and come back, each knowing only itself at first and meeting the others one by one,
    // while a
    // worker is cold as well. Each would hold all shares of the worker.
    @Test
    void processesThatAreOnlyMeetingEachOtherUseNoColdWorker() {
        for (int i = 0; i < PROCESSES; i++) {
            fleet.add(process());
        }
        publish(60_000, 0);
        for (int round = 0; round < 20; round++) {
            long now = round * SECOND / 10;
            int known = Math.min(PROCESSES, 1 + round * round);
            for (int i = 0; i < PROCESSES; i++) {
                int from = Math.min(i, PROCESSES - known);
                fleet.get(i).fleet(name(i), without(names(from, from + known), name(i)), now);
            }
            pressUntil(now + SECOND / 10, now);
        }
        assertThat(busiestSecond()).isLessThanOrEqualTo(5);
        pressUntil(8 * SECOND, 2 * SECOND);
        assertThat(sent).isNotEmpty();
        assertThat(busiestSecond()).isLessThanOrEqualTo(5);
    }

    // A worker crashes and is back under its name before its entry tells of the new start. Processes that found it gone
    // must not all believe that it is as before.
    @Test
    void aWorkerThatCouldNotBeReachedIsTakenForCold() {
        start(1, 0);
        publish(0, 4 * SECOND);
        Workers process = fleet.get(0);
        assertThat(state(process, 5 * SECOND)).isEqualTo(SendPermission.UNLIMITED);
        Placement placement = process.place(process.find("w").orElseThrow(), false, 0, 5 * SECOND);
        placement.recordConnectFailure(5 * SECOND);
        placement.end();
        assertThat(state(process, 7 * SECOND)).isEqualTo(SendPermission.RATE_LIMITED);
        assertThat(state(process, 8 * SECOND + MILLI)).isEqualTo(SendPermission.UNLIMITED);
    }

    // A data centre is taken back. What its workers said before it was evacuated is old: they are cold now.
    @Test
    void workersOfADataCentreThatIsTakenBackAreTakenForCold() {
        start(1, 0);
        publish(0, 4 * SECOND);
        Workers process = fleet.get(0);
        process.evacuated("dc");
        process.takenBack("dc", 9 * SECOND);
        assertThat(state(process, 9 * SECOND)).isEqualTo(SendPermission.RATE_LIMITED);
        assertThat(state(process, 12 * SECOND)).isEqualTo(SendPermission.UNLIMITED);
    }

    @Test
    void aWorkersOwnWordEndsItsColdTime() {
        start(1, 0);
        publish(60_000, 4 * SECOND);
        Workers process = fleet.get(0);
        assertThat(state(process, 5 * SECOND)).isEqualTo(SendPermission.RATE_LIMITED);
        publish(0, 6 * SECOND);
        assertThat(state(process, 6 * SECOND)).isEqualTo(SendPermission.UNLIMITED);
    }

    @Test
    void workersOfAnUpstreamWithoutABoundAreNeverCold() {
        start(1, 0);
        publish(60_000, 4 * SECOND);
        Workers process = fleet.get(0);
        process.upstreams(upstream -> true, upstream -> new ColdStart(3_000, 0));
        assertThat(state(process, 5 * SECOND)).isEqualTo(SendPermission.UNLIMITED);
    }

    private void start(int processes, long nowNanos) {
        List<String> all = names(0, processes);
        for (int i = 0; i < processes; i++) {
            Workers process = process();
            process.fleet(name(i), without(all, name(i)), nowNanos);
            fleet.add(process);
        }
    }

    private static Workers process() {
        Workers process = new Workers();
        process.upstreams(upstream -> true, upstream -> COLD_START);
        return process;
    }

    private void publish(long coldMillis, long nowNanos) {
        WorkerEntry entry = new WorkerEntry("w", 1, "u", "10.0.0.1", 8000, "dc", 64, false, coldMillis);
        fleet.forEach(process -> process.addOrUpdate(entry, nowNanos));
    }

    /** Every process sends as much as it may. */
    private void pressUntil(long untilNanos, long fromNanos) {
        for (long now = fromNanos; now < untilNanos; now += 10 * MILLI) {
            for (Workers process : fleet) {
                if (state(process, now) != SendPermission.DENIED) {
                    process.place(process.find("w").orElseThrow(), false, 0, now);
                    sent.add(now);
                }
            }
        }
    }

    private int busiestSecond() {
        return sent.stream()
                .mapToInt(from -> (int) sent.stream()
                        .filter(at -> at >= from && at - from < SECOND)
                        .count())
                .max()
                .orElse(0);
    }

    private static SendPermission state(Workers process, long nowNanos) {
        List<WorkerLoad> candidates = process.candidates("u", Set.of(), nowNanos);
        return candidates.get(0).sendPermission();
    }

    private static List<String> names(int from, int to) {
        return IntStream.range(from, to).mapToObj(ColdWorkersTest::name).toList();
    }

    private static String name(int number) {
        return "router-" + number;
    }

    private static List<String> without(List<String> names, String name) {
        return names.stream().filter(each -> !each.equals(name)).toList();
    }
}
