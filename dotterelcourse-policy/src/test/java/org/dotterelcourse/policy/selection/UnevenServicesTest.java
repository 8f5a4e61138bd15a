package org.dotterelcourse.policy.selection;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;

import org.dotterelcourse.policy.performance.PerformanceEstimator;
import org.dotterelcourse.policy.performance.TimingRecorder;
import org.dotterelcourse.policy.performance.TimingSums;
import org.dotterelcourse.policy.performance.WorkerPerformance;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Load test without network: plain calls of 68.6 ms on four workers of six slots in different data centres, in virtual time,
 * from processes that see each other's load 0.1 s late.
 */
class UnevenServicesTest {
    private static final double WORK_MILLIS = 68.6;
    private static final double TARGET_MILLIS = 339;
    private static final int SLOTS = 6;
    private static final int PROCESSES = 8;
    private static final double[] EQUAL = {1, 1, 1, 1};
    private static final double[] UNEVEN = {0.6, 0.8, 1.1, 1.5};

    private final List<Worker> workers = new ArrayList<>();
    private Map<Integer, WorkerPerformance> estimates;
    private double minEstimate;
    private double maxEstimate;

    private static final class Worker {
        private final int index;
        private final double slowness;
        private final Deque<Call> queue = new ArrayDeque<>();
        private final int[] inFlight = new int[PROCESSES];
        private final int[] seen = new int[PROCESSES];
        private final TimingRecorder timings = new TimingRecorder();
        private int running;

        Worker(int index, double slowness) {
            this.index = index;
            this.slowness = slowness;
        }

        int load(int process) {
            int load = inFlight[process];
            for (int i = 0; i < PROCESSES; i++) {
                load += i == process ? 0 : seen[i];
            }
            return load;
        }
    }

    private record Call(int process, double sentMillis, boolean hasFreeSlot, double workMillis) {}

    private record Event(double atMillis, Runnable action) {}

    // Calls that queue at a busy worker must not make it appear slow, and processes prefer workers of their data
    // centre.
    @Test
    void equalWorkersRemainNominalUnderAnyLoad() {
        for (double load : new double[] {0.3, 0.7, 0.95}) {
            onTime(EQUAL, load, true);
            assertThat(minEstimate).as("load %s", load).isEqualTo(1);
            assertThat(maxEstimate).as("load %s", load).isEqualTo(1);
        }
    }

    @Test
    void moreCallsAreOnTimeIfSlowWorkersGetFewer() {
        double without = onTime(UNEVEN, 0.8, false);
        double with = onTime(UNEVEN, 0.8, true);
        assertThat(with).isGreaterThan(without + 0.01);
        assertThat(maxEstimate).isBetween(1.15, 2.0);
    }

    /** Returns the fraction of calls on time at a load relative to the capacity of all workers. */
    private double onTime(double[] slowness, double load, boolean measured) {
        Random random = new Random(1);
        workers.clear();
        estimates = Map.of();
        minEstimate = 1;
        maxEstimate = 1;
        double capacity = 0;
        for (int i = 0; i < slowness.length; i++) {
            workers.add(new Worker(i, slowness[i]));
            capacity += SLOTS / (WORK_MILLIS * slowness[i]);
        }
        double callsPerMilli = load * capacity;
        PriorityQueue<Event> events = new PriorityQueue<>(Comparator.comparingDouble(Event::atMillis));
        LeastLoadedSelector selector = new LeastLoadedSelector(random);
        int[] counts = new int[2];
        double now = 0;
        double nextReport = 100;
        double nextCall = 0;
        while (now < 40_000) {
            double next = Math.min(
                    nextCall,
                    events.isEmpty() ? Double.MAX_VALUE : events.peek().atMillis());
            if (nextReport <= next) {
                now = nextReport;
                report(now);
                nextReport += 100;
            } else if (next == nextCall) {
                now = nextCall;
                nextCall = now - Math.log(1 - random.nextDouble()) / callsPerMilli;
                counts[0]++;
                send(selector, random, now, measured, events, counts);
            } else {
                now = next;
                events.poll().action().run();
            }
        }
        return counts[1] / (double) counts[0];
    }

    private void report(double now) {
        for (Worker worker : workers) {
            System.arraycopy(worker.inFlight, 0, worker.seen, 0, PROCESSES);
        }
        if (now % 1_000 == 0) {
            Map<Integer, TimingSums> sums = new HashMap<>();
            workers.forEach(worker -> sums.put(worker.index, worker.timings.sums((long) (now * 1e6))));
            estimates = new PerformanceEstimator().estimate(sums).workers();
            for (WorkerPerformance each : estimates.values()) {
                minEstimate = Math.min(minEstimate, each.slowness());
                maxEstimate = Math.max(maxEstimate, each.slowness());
            }
        }
    }

    private void send(
            LeastLoadedSelector selector,
            Random random,
            double now,
            boolean measured,
            PriorityQueue<Event> events,
            int[] counts) {
        int process = random.nextInt(PROCESSES);
        List<WorkerLoad> loads = workers.stream()
                .map(worker -> new WorkerLoad(
                        "" + worker.index,
                        worker.index,
                        "10.0.0.1:" + worker.index,
                        "dc-" + worker.index,
                        SLOTS,
                        worker.load(process),
                        0,
                        0,
                        false,
                        SendPermission.UNLIMITED,
                        measured
                                ? estimates.getOrDefault(worker.index, WorkerPerformance.NOMINAL)
                                : WorkerPerformance.NOMINAL,
                        ""))
                .toList();
        selector.select("dc-" + (process < 5 ? 0 : process % 4), loads, 0).ifPresent(id -> {
            Worker worker = workers.get(Integer.parseInt(id));
            boolean hasFreeSlot = worker.load(process) < SLOTS;
            double work = WORK_MILLIS * worker.slowness * (0.7 + 0.6 * random.nextDouble());
            worker.inFlight[process]++;
            worker.queue.add(new Call(process, now, hasFreeSlot, work));
            startNext(worker, now, events, counts);
        });
    }

    private void startNext(Worker worker, double now, PriorityQueue<Event> events, int[] counts) {
        while (worker.running < SLOTS && !worker.queue.isEmpty()) {
            Call call = worker.queue.poll();
            worker.running++;
            double end = now + call.workMillis();
            events.add(new Event(end, () -> {
                worker.running--;
                worker.inFlight[call.process()]--;
                double elapsed = end - call.sentMillis();
                if (call.hasFreeSlot() && worker.load(call.process()) < SLOTS) {
                    worker.timings.recordResponse(elapsed, 50, (long) (end * 1e6));
                }
                counts[1] += elapsed <= TARGET_MILLIS ? 1 : 0;
                startNext(worker, end, events, counts);
            }));
        }
    }
}
