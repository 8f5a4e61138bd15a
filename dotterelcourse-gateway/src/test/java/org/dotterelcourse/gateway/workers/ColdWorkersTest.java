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

/** Requests that a fleet sends to a cold worker when its processes do not receive load reports of one another. */
class ColdWorkersTest {
    private static final long MILLI_NANOS = 1_000_000L;
    private static final long SECOND_NANOS = 1_000 * MILLI_NANOS;
    private static final ColdStart COLD_START = new ColdStart(3_000, 5.9);

    /** Strictest limit of any deployment: 1.5 times the request rate that a worker can take, plus five. */
    private static final double MAX_REQUESTS_PER_SECOND = 5.9 * 1.5 + 5;

    private static final int PROCESSES = 60;

    private final List<Workers> fleet = new ArrayList<>();
    private final List<Long> sent = new ArrayList<>();

    // An engine restarts after a crash, idle and cold, while sixty processes have more requests than the other engines
    // can take. If each process sent it the requests that fit it best, it would crash again immediately, and all of
    // these requests with it.
    @Test
    void aColdWorkerGetsNoMoreRequestsThanItsLimit() {
        start(PROCESSES, 0);
        publish(3_000, 5 * SECOND_NANOS);
        sendAsPermittedUntil(8 * SECOND_NANOS, 5 * SECOND_NANOS);
        assertThat(maxRequestsInASecond()).isBetween(4, 5);
    }

    // A network partition splits the fleet, and each half considers the other one dead.
    @Test
    void twoHalvesOfAPartitionedFleetTogetherStayBelowTheLimit() {
        start(PROCESSES, 0);
        List<String> first = names(0, PROCESSES / 2);
        List<String> second = names(PROCESSES / 2, PROCESSES);
        for (int i = 0; i < PROCESSES; i++) {
            List<String> half = i < PROCESSES / 2 ? first : second;
            fleet.get(i).updateFleet(name(i), without(half, name(i)), 5 * SECOND_NANOS);
        }
        publish(3_000, 6 * SECOND_NANOS);
        sendAsPermittedUntil(9 * SECOND_NANOS, 6 * SECOND_NANOS);
        assertThat((double) maxRequestsInASecond()).isPositive().isLessThan(MAX_REQUESTS_PER_SECOND);
    }

    // All processes restart after a power failure while a worker is cold as well. At first each process knows only
    // itself and would use the whole request rate of the worker; it discovers the others one by one.
    @Test
    void processesThatAreStillDiscoveringTheFleetUseNoColdWorker() {
        for (int i = 0; i < PROCESSES; i++) {
            fleet.add(newProcess());
        }
        publish(60_000, 0);
        for (int round = 0; round < 20; round++) {
            long nowNanos = round * SECOND_NANOS / 10;
            int discovered = Math.min(PROCESSES, 1 + round * round);
            for (int i = 0; i < PROCESSES; i++) {
                int from = Math.min(i, PROCESSES - discovered);
                fleet.get(i).updateFleet(name(i), without(names(from, from + discovered), name(i)), nowNanos);
            }
            sendAsPermittedUntil(nowNanos + SECOND_NANOS / 10, nowNanos);
        }
        assertThat(maxRequestsInASecond()).isLessThanOrEqualTo(5);
        sendAsPermittedUntil(8 * SECOND_NANOS, 2 * SECOND_NANOS);
        assertThat(sent).isNotEmpty();
        assertThat(maxRequestsInASecond()).isLessThanOrEqualTo(5);
    }

    // A worker crashes and restarts under its name before its entry shows the new start. Processes that failed to
    // connect to it must not treat it as warm.
    @Test
    void aWorkerIsAssumedColdAfterAFailedConnection() {
        start(1, 0);
        publish(0, 4 * SECOND_NANOS);
        Workers process = fleet.get(0);
        assertThat(permission(process, 5 * SECOND_NANOS)).isEqualTo(SendPermission.UNLIMITED);
        Placement placement = process.place(process.find("w").orElseThrow(), false, 0, 5 * SECOND_NANOS);
        placement.recordConnectFailure(5 * SECOND_NANOS);
        placement.end();
        assertThat(permission(process, 7 * SECOND_NANOS)).isEqualTo(SendPermission.RATE_LIMITED);
        assertThat(permission(process, 8 * SECOND_NANOS + MILLI_NANOS)).isEqualTo(SendPermission.UNLIMITED);
    }

    // The evacuation of a data centre ends. Its workers have been idle, so what they published before is outdated and
    // they are cold now.
    @Test
    void workersAreAssumedColdAfterAnEvacuation() {
        start(1, 0);
        publish(0, 4 * SECOND_NANOS);
        Workers process = fleet.get(0);
        process.evacuate("dc");
        process.endEvacuation("dc", 9 * SECOND_NANOS);
        assertThat(permission(process, 9 * SECOND_NANOS)).isEqualTo(SendPermission.RATE_LIMITED);
        assertThat(permission(process, 12 * SECOND_NANOS)).isEqualTo(SendPermission.UNLIMITED);
    }

    @Test
    void aWorkerIsWarmOnceItPublishesThatItIs() {
        start(1, 0);
        publish(60_000, 4 * SECOND_NANOS);
        Workers process = fleet.get(0);
        assertThat(permission(process, 5 * SECOND_NANOS)).isEqualTo(SendPermission.RATE_LIMITED);
        publish(0, 6 * SECOND_NANOS);
        assertThat(permission(process, 6 * SECOND_NANOS)).isEqualTo(SendPermission.UNLIMITED);
    }

    @Test
    void workersOfAnUpstreamWithoutALimitAreNeverCold() {
        start(1, 0);
        publish(60_000, 4 * SECOND_NANOS);
        Workers process = fleet.get(0);
        process.configureUpstreams(upstream -> true, upstream -> new ColdStart(3_000, 0));
        assertThat(permission(process, 5 * SECOND_NANOS)).isEqualTo(SendPermission.UNLIMITED);
    }

    private void start(int processes, long nowNanos) {
        List<String> all = names(0, processes);
        for (int i = 0; i < processes; i++) {
            Workers process = newProcess();
            process.updateFleet(name(i), without(all, name(i)), nowNanos);
            fleet.add(process);
        }
    }

    private static Workers newProcess() {
        Workers process = new Workers();
        process.configureUpstreams(upstream -> true, upstream -> COLD_START);
        return process;
    }

    private void publish(long coldMillis, long nowNanos) {
        WorkerEntry entry = new WorkerEntry("w", 1, "u", "10.0.0.1", 8000, "dc", 64, false, coldMillis, "");
        fleet.forEach(process -> process.addOrUpdate(entry, nowNanos));
    }

    /** Every 10 ms, each process sends a request if it is permitted to. */
    private void sendAsPermittedUntil(long untilNanos, long fromNanos) {
        for (long nowNanos = fromNanos; nowNanos < untilNanos; nowNanos += 10 * MILLI_NANOS) {
            for (Workers process : fleet) {
                if (permission(process, nowNanos) != SendPermission.DENIED) {
                    process.place(process.find("w").orElseThrow(), false, 0, nowNanos);
                    sent.add(nowNanos);
                }
            }
        }
    }

    private int maxRequestsInASecond() {
        return sent.stream()
                .mapToInt(from -> (int) sent.stream()
                        .filter(at -> at >= from && at - from < SECOND_NANOS)
                        .count())
                .max()
                .orElse(0);
    }

    private static SendPermission permission(Workers process, long nowNanos) {
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
