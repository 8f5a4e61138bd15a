package org.dotterelcourse.gateway.fleet;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.stream.Collectors;

import org.dotterelcourse.gateway.fleet.generated.FleetProtos;
import org.dotterelcourse.gateway.workers.PeerLoads;
import org.dotterelcourse.gateway.workers.Placement;
import org.dotterelcourse.gateway.workers.WorkerEntry;
import org.dotterelcourse.gateway.workers.WorkerTimings;
import org.dotterelcourse.gateway.workers.Workers;
import org.dotterelcourse.policy.performance.TimingSums;
import org.dotterelcourse.policy.selection.WorkerLoad;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Load test without network: 65 routers in front of 98 engines that differ in speed, each of which a router uses about every
 * 20 s, with two collectors, in virtual time.
 */
class FleetTimingsTest {
    private static final int ROUTERS = 65;
    private static final int COLLECTORS = 2;
    private static final int ENGINES = 98;
    private static final int STREAMS_PER_SECOND = 326;
    private static final int TOKENS_PER_EVENT = 6;
    private static final int LARGEST_REPORT_BYTES = 2_048;
    private static final long SECOND = 1_000_000_000L;

    private final Random random = new Random(3);
    private final List<Router> routers = new ArrayList<>();
    private final double[] slowness = new double[ENGINES];
    private int largestReport;

    /** A router, whose collector is the router of the number {@code index % COLLECTORS}. */
    private static final class Router {
        private final Workers workers = new Workers();
        private final WorkerTimings timings = new WorkerTimings(workers);
        private final String name;

        Router(int index) {
            name = "router-" + index;
            for (int i = 0; i < ENGINES; i++) {
                workers.addOrUpdate(entry(i), SECOND);
            }
        }

        Map<String, Double> estimates(long nowNanos) {
            timings.updateIfDue(nowNanos);
            return workers.candidates("engines", Set.of(), nowNanos).stream()
                    .collect(Collectors.toMap(
                            WorkerLoad::id, each -> each.performance().slowness()));
        }
    }

    @BeforeEach
    void createRouters() {
        for (int i = 0; i < ROUTERS; i++) {
            routers.add(new Router(i));
        }
        for (int i = 0; i < ENGINES; i++) {
            slowness[i] = 1 / (0.7 + random.nextDouble());
        }
    }

    // A single router has three streams in the time in which the sums of all decay to a tenth.
    @Test
    void allRoutersLearnTheSpeedsOfAllEngines() {
        long now = SECOND;
        for (int second = 0; second < 15; second++) {
            now += SECOND;
            serveStreams(now);
            exchange(now);
        }
        double mean = Arrays.stream(slowness).average().orElseThrow();
        Map<String, Double> reference = routers.get(0).estimates(now + SECOND);
        double errors = 0;
        double spread = 0;
        for (Router router : routers) {
            Map<String, Double> estimates = router.estimates(now + SECOND);
            for (int i = 0; i < ENGINES; i++) {
                double estimate = estimates.get("engine-" + i);
                errors += Math.abs(Math.log(estimate * mean / slowness[i]));
                spread += Math.abs(Math.log(estimate / reference.get("engine-" + i)));
            }
        }
        assertThat(errors / (ROUTERS * ENGINES)).isLessThan(0.1);
        assertThat(spread / (ROUTERS * ENGINES)).isLessThan(0.02);
        assertThat(largestReport).isLessThan(LARGEST_REPORT_BYTES);
    }

    private void serveStreams(long now) {
        for (int i = 0; i < STREAMS_PER_SECOND; i++) {
            Workers workers = routers.get(random.nextInt(ROUTERS)).workers;
            int engine = random.nextInt(ENGINES);
            Placement stream = workers.place(workers.find("engine-" + engine).orElseThrow(), true, 50, now);
            int events = 9 + random.nextInt(21);
            long time = now + 100_000_000L;
            for (int event = 0; event < events; event++) {
                stream.recordEvent(TOKENS_PER_EVENT, time);
                // A third of the events falls into the reading of a prompt.
                double stepMillis = random.nextInt(3) == 0 ? 30 + 15 * random.nextDouble() : 5 + random.nextDouble();
                time += (long) (TOKENS_PER_EVENT * stepMillis * slowness[engine] * 1e6);
            }
            stream.recordStreamEnd(TOKENS_PER_EVENT, time);
            stream.end();
        }
    }

    private void exchange(long now) {
        for (int i = 0; i < ROUTERS; i++) {
            Router collector = routers.get(i % COLLECTORS);
            if (i >= COLLECTORS) {
                send(routers.get(i), collector, PeerLoads.Scope.OWN, now);
            }
        }
        for (int i = 0; i < COLLECTORS; i++) {
            send(routers.get(i), routers.get(1 - i), PeerLoads.Scope.GATHERED, now);
        }
        for (int i = COLLECTORS; i < ROUTERS; i++) {
            send(routers.get(i % COLLECTORS), routers.get(i), PeerLoads.Scope.OTHERS, now);
        }
        routers.forEach(router -> router.timings.updateIfDue(now));
    }

    private void send(Router sender, Router receiver, PeerLoads.Scope scope, long now) {
        FleetProtos.WorkerTimings message = TimingCodec.encode(sender.timings.sums(scope, receiver.name, now));
        largestReport = Math.max(largestReport, message.getSerializedSize());
        Map<Integer, TimingSums> rows = TimingCodec.decode(message);
        assertThat(receiver.timings.recordReport(sender.name, scope, rows, ROUTERS, now))
                .isZero();
    }

    private static WorkerEntry entry(int index) {
        return new WorkerEntry("engine-" + index, 1, "engines", "10.0.0.1", 1 + index, "dc", 32, false, 0, "");
    }
}
