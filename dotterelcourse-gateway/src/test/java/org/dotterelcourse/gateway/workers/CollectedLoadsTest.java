package org.dotterelcourse.gateway.workers;

import java.util.HashMap;
import java.util.Map;
import java.util.Random;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

class CollectedLoadsTest {
    private static final long TENTH = 100_000_000L;

    // Guards against kept sums that miss a report, an expiry or a request of this process: routers would then select
    // workers by loads of others that no longer exist.
    @Test
    void sumsWithoutOneProcessAgreeWithSummingUpAllReports() {
        Random random = new Random(2);
        Workers workers = new Workers();
        for (int i = 0; i < 12; i++) {
            workers.addOrUpdate(new WorkerEntry("w-" + i, 1, "e", "10.0.0." + i, 1, "dc", 8, false, 0, ""), 0);
        }
        int rows = 0;
        for (long now = TENTH; now < 2_000 * TENTH; now += TENTH) {
            // Reporters fall silent for longer than reports are valid, one after the other.
            int silent = (int) (now / TENTH / 40 % 10);
            for (int peer = 0; peer < 8; peer++) {
                if (peer != silent && random.nextInt(3) == 0) {
                    PeerLoads.Scope scope = peer < 6 ? PeerLoads.Scope.OWN : PeerLoads.Scope.GATHERED;
                    workers.recordPeerLoads("p-" + peer, scope, loads(random), now);
                }
            }
            if (random.nextInt(4) == 0) {
                WorkerState worker = workers.find("w-" + random.nextInt(12)).orElseThrow();
                Placement placement = workers.place(worker, false, random.nextInt(100), now);
                if (random.nextBoolean()) {
                    placement.recordSuccess(now);
                    placement.end();
                }
            }
            for (int peer = 0; peer < 9; peer++) {
                Map<Integer, PeerLoads.Load> rest =
                        new HashMap<>(workers.collectedLoads().all(now));
                rest.putAll(workers.collectedLoads().changesExcluding("p-" + peer, now));
                rest.values().removeIf(PeerLoads.Load.NONE::equals);
                Map<Integer, PeerLoads.Load> expected = workers.collectedLoads().excluding("p-" + peer, now);
                expected.values().removeIf(PeerLoads.Load.NONE::equals);
                assertThat(rest.keySet()).isEqualTo(expected.keySet());
                rest.forEach((worker, load) -> assertClose(load, expected.get(worker)));
                rows += rest.size();
            }
        }
        assertThat(rows).isGreaterThan(50_000);
    }

    private static void assertClose(PeerLoads.Load load, PeerLoads.Load expected) {
        assertThat(load.inFlight()).isEqualTo(expected.inFlight());
        assertThat(load.interactive()).isEqualTo(expected.interactive());
        assertThat(load.prefillMillis()).isCloseTo(expected.prefillMillis(), within(1e-6));
        assertThat(load.succeeded()).isCloseTo(expected.succeeded(), within(1e-6));
        assertThat(load.failed()).isCloseTo(expected.failed(), within(1e-6));
    }

    private static Map<Integer, PeerLoads.Load> loads(Random random) {
        Map<Integer, PeerLoads.Load> loads = new HashMap<>();
        for (int i = random.nextInt(6); i > 0; i--) {
            String id = "w-" + random.nextInt(14);
            loads.put(
                    new WorkerEntry(id, 1, "", "", 0, "", 0, false, 0, "").incarnation(),
                    new PeerLoads.Load(1 + random.nextInt(5), 1, random.nextInt(500), random.nextInt(90) / 10.0, 0.1));
        }
        return loads;
    }
}
