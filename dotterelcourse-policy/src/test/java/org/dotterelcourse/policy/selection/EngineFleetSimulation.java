package org.dotterelcourse.policy.selection;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;

import org.dotterelcourse.policy.performance.PerformanceEstimator;
import org.dotterelcourse.policy.performance.StreamGaps;
import org.dotterelcourse.policy.performance.TimingRecorder;
import org.dotterelcourse.policy.performance.TimingSums;
import org.dotterelcourse.policy.performance.WorkerPerformance;

/**
 * Simulates engines that differ in speed and several processes that place streams there, in virtual time. Processes see each
 * other's load 0.1 to 0.2 s late and each other's timings a second late. Engines read prompts in chunks, make a token of each
 * stream per step and slow down for 0.6 s now and then.
 */
final class EngineFleetSimulation {
    private static final double CHUNK_TOKENS = 2_048;
    private static final double STEP_MILLIS = 4.23;
    private static final double STREAM_STEP_MILLIS = 0.165;
    private static final double TOKENS_PER_MILLI = 64.2;
    private static final double ATTENTION_MILLIS_PER_MILLION_PAIRS = 0.525;
    private static final int TOKENS_PER_EVENT = 6;
    private static final int SLOTS = 32;
    private static final int PROCESSES = 13;
    private static final int SHARED_PARTS = 8;
    private static final long NANOS_PER_MILLI = 1_000_000L;

    private final List<Engine> engines = new ArrayList<>();
    private final List<Kind> kinds;
    private final Options options;
    private final Random random;
    private final CachedPrefixes prefixes = new CachedPrefixes();
    private final EnginePartition partition = new EnginePartition();
    private final GapClassifier classifier = new GapClassifier(true);
    private final PerformanceEstimator estimator = new PerformanceEstimator();
    private final Map<String, Result> results = new HashMap<>();
    private Map<Integer, WorkerPerformance> estimates = Map.of();
    private double maxEstimate = 1;
    private double minEstimate = 1;
    private double nowMillis = 1;

    /** A kind of streams of the simulated load. */
    record Kind(
            String name,
            int sharedTokens,
            int ownTokens,
            int events,
            double perSecond,
            long targetMillis,
            long gapTargetMillis) {}

    /**
     * Options of a run.
     *
     * @param measured whether processes use estimated speeds
     * @param separated whether streams are classified by {@link GapClassifier} instead of by the prior alone
     * @param disturbed whether engines slow down for 0.6 s now and then
     */
    record Options(boolean measured, boolean separated, boolean disturbed) {}

    /** Counts of the streams of one kind. */
    static final class Result {
        int total;
        int onTime;
        int lateGap;
        int lateFirst;

        double onTimeFraction() {
            return onTime / (double) Math.max(1, total);
        }

        @Override
        public String toString() {
            return String.format(
                    "%d streams, %.3f on time, %d late gaps, %d late first events",
                    total, onTimeFraction(), lateGap, lateFirst);
        }
    }

    /** Load of one engine by process. */
    private static final class LoadCounts {
        final int[] inFlight = new int[PROCESSES];
        final int[] interactive = new int[PROCESSES];
        final double[] prefill = new double[PROCESSES];

        LoadCounts copy() {
            LoadCounts copy = new LoadCounts();
            System.arraycopy(inFlight, 0, copy.inFlight, 0, PROCESSES);
            System.arraycopy(interactive, 0, copy.interactive, 0, PROCESSES);
            System.arraycopy(prefill, 0, copy.prefill, 0, PROCESSES);
            return copy;
        }
    }

    private final class Engine {
        final int index;
        final double slowness;
        final LoadCounts counts = new LoadCounts();
        LoadCounts seen = new LoadCounts();
        LoadCounts pendingSeen = new LoadCounts();
        final Deque<Stream> reading = new ArrayDeque<>();
        final List<Stream> running = new ArrayList<>();
        final TimingRecorder[] timings = new TimingRecorder[PROCESSES];
        double disturbedUntil;
        double nextStep = Double.MAX_VALUE;
        boolean busy;

        Engine(int index, double slowness) {
            this.index = index;
            this.slowness = slowness;
            for (int i = 0; i < PROCESSES; i++) {
                timings[i] = new TimingRecorder();
            }
        }

        /** Begins a step; returns when it ends. */
        void beginStep() {
            double tokensLeft = CHUNK_TOKENS;
            double millis = STEP_MILLIS + STREAM_STEP_MILLIS * running.size();
            Iterator<Stream> each = reading.iterator();
            while (each.hasNext() && tokensLeft > 0) {
                Stream stream = each.next();
                double part = Math.min(tokensLeft, stream.tokensToRead);
                stream.tokensToRead -= part;
                tokensLeft -= part;
                millis += part / TOKENS_PER_MILLI
                        + ATTENTION_MILLIS_PER_MILLION_PAIRS * part * (stream.context + part / 2) / 1e6;
                stream.context += part;
            }
            double factor = slowness * (nowMillis < disturbedUntil ? 2.5 : 1);
            nextStep = nowMillis + millis * factor;
            busy = true;
        }

        void endStep() {
            for (Iterator<Stream> each = running.iterator(); each.hasNext(); ) {
                Stream stream = each.next();
                stream.tokens++;
                if (stream.tokens % TOKENS_PER_EVENT == 0 && stream.recordEvent()) {
                    each.remove();
                }
            }
            for (Iterator<Stream> each = reading.iterator(); each.hasNext(); ) {
                Stream stream = each.next();
                if (stream.tokensToRead <= 0) {
                    each.remove();
                    running.add(stream);
                }
            }
            busy = false;
            nextStep = Double.MAX_VALUE;
            if (!running.isEmpty() || !reading.isEmpty()) {
                beginStep();
            }
        }
    }

    private final class Stream {
        final Kind kind;
        final Engine engine;
        final int process;
        final boolean interactive;
        final double arrival;
        final double prefill;
        final double expectedMillis;
        final StreamGaps gaps = new StreamGaps();
        double tokensToRead;
        double context;
        int tokens;
        int eventCount;
        double lastEvent;
        double maxGap;
        double firstEvent;

        Stream(Kind kind, Engine engine, int process, Prompt prompt, int cached) {
            this.kind = kind;
            this.engine = engine;
            this.process = process;
            this.interactive = prompt.latencyClass() == LatencyClass.GAP_SENSITIVE;
            this.arrival = nowMillis;
            this.prefill = prompt.prefillMillis(cached);
            this.tokensToRead = prompt.promptTokens() - cached;
            this.context = cached;
            this.expectedMillis = 10 + prefill + view(engine, process).prefillMillis();
            engine.counts.inFlight[process]++;
            engine.counts.interactive[process] += interactive ? 1 : 0;
            engine.counts.prefill[process] += prefill;
        }

        /** Records an event and returns whether the stream has ended. */
        boolean recordEvent() {
            eventCount++;
            long nanos = (long) (nowMillis * NANOS_PER_MILLI);
            if (eventCount == 1) {
                firstEvent = nowMillis - arrival;
                engine.counts.prefill[process] -= prefill;
                engine.timings[process].recordResponse(firstEvent, expectedMillis, nanos);
            } else {
                maxGap = Math.max(maxGap, nowMillis - lastEvent);
                gaps.recordGap(nowMillis - lastEvent, TOKENS_PER_EVENT).ifPresent(sample -> record(sample, nanos));
            }
            lastEvent = nowMillis;
            if (eventCount < kind.events()) {
                return false;
            }
            gaps.end(TOKENS_PER_EVENT).ifPresent(sample -> record(sample, nanos));
            engine.counts.inFlight[process]--;
            engine.counts.interactive[process] -= interactive ? 1 : 0;
            Result result = results.computeIfAbsent(kind.name(), name -> new Result());
            result.total++;
            boolean lateGap = maxGap > kind.gapTargetMillis();
            boolean lateFirst = firstEvent > kind.targetMillis();
            result.lateGap += lateGap ? 1 : 0;
            result.lateFirst += lateFirst ? 1 : 0;
            result.onTime += lateGap || lateFirst ? 0 : 1;
            return true;
        }

        private void record(StreamGaps.StepSample sample, long nanos) {
            int others = view(engine, process).inFlight() - 1;
            engine.timings[process].recordSteps(sample, 1 / (1 + 0.033 * Math.max(0, others)), nanos);
        }
    }

    EngineFleetSimulation(List<Kind> kinds, double[] slowness, Options options, long seed) {
        this.kinds = kinds;
        this.options = options;
        this.random = new Random(seed);
        for (int i = 0; i < slowness.length; i++) {
            engines.add(new Engine(i, slowness[i]));
        }
        engines.sort(Comparator.comparingInt(each -> RankHash.hash(address(each))));
    }

    /** Runs the load for a time, multiplied by a factor from the second third of the time on. */
    Map<String, Result> run(double seconds, double burst) {
        double end = seconds * 1_000;
        PriorityQueue<double[]> arrivals = new PriorityQueue<>(Comparator.comparingDouble(each -> each[0]));
        for (int i = 0; i < kinds.size(); i++) {
            arrivals.add(new double[] {nextArrival(kinds.get(i), 1), i});
        }
        double nextReport = 100;
        double nextEstimate = 1_000;
        while (nowMillis < end) {
            Engine first = engines.get(0);
            for (Engine engine : engines) {
                first = engine.nextStep < first.nextStep ? engine : first;
            }
            double arrival = arrivals.peek()[0];
            double next = Math.min(Math.min(first.nextStep, arrival), Math.min(nextReport, nextEstimate));
            nowMillis = next;
            if (next == nextReport) {
                report();
                nextReport += 100;
            } else if (next == nextEstimate) {
                estimate();
                nextEstimate += 1_000;
            } else if (next == arrival) {
                int kind = (int) arrivals.poll()[1];
                place(kinds.get(kind));
                double factor = nowMillis > end / 3 ? burst : 1;
                arrivals.add(new double[] {nextArrival(kinds.get(kind), factor), kind});
            } else {
                first.endStep();
            }
        }
        return results;
    }

    double maxEstimate() {
        return maxEstimate;
    }

    double minEstimate() {
        return minEstimate;
    }

    /** Mean factor between the estimated and the actual slowness relative to the mean, as the exponent of the mean log. */
    double estimateError() {
        double mean =
                engines.stream().mapToDouble(each -> each.slowness).average().orElseThrow();
        return Math.exp(engines.stream()
                .mapToDouble(each -> Math.abs(Math.log(performance(each).slowness() * mean / each.slowness)))
                .average()
                .orElseThrow());
    }

    private double nextArrival(Kind kind, double factor) {
        return nowMillis - Math.log(1 - random.nextDouble()) * 1_000 / (kind.perSecond() * factor);
    }

    private void report() {
        for (Engine engine : engines) {
            engine.seen = engine.pendingSeen;
            engine.pendingSeen = engine.counts.copy();
            if (options.disturbed() && random.nextDouble() < 0.1 / 15) {
                engine.disturbedUntil = nowMillis + 600;
            }
        }
    }

    private void estimate() {
        long nanos = (long) (nowMillis * NANOS_PER_MILLI);
        Map<Integer, TimingSums> sums = new HashMap<>();
        for (Engine engine : engines) {
            TimingSums sum = TimingSums.NONE;
            for (TimingRecorder recorder : engine.timings) {
                sum = sum.plus(recorder.sums(nanos));
            }
            sums.put(engine.index, sum);
        }
        PerformanceEstimator.Estimate estimate = estimator.estimate(sums);
        estimates = estimate.workers();
        for (WorkerPerformance each : estimates.values()) {
            maxEstimate = Math.max(maxEstimate, each.slowness());
            minEstimate = Math.min(minEstimate, each.slowness());
        }
    }

    private WorkerPerformance performance(Engine engine) {
        return estimates.getOrDefault(engine.index, WorkerPerformance.NOMINAL);
    }

    private static String address(Engine engine) {
        return "10.0.0." + engine.index + ":8000";
    }

    private WorkerLoad view(Engine engine, int process) {
        int inFlight = engine.counts.inFlight[process];
        int interactive = engine.counts.interactive[process];
        double prefill = engine.counts.prefill[process];
        for (int i = 0; i < PROCESSES; i++) {
            if (i != process) {
                inFlight += engine.seen.inFlight[i];
                interactive += engine.seen.interactive[i];
                prefill += engine.seen.prefill[i];
            }
        }
        return new WorkerLoad(
                "engine-" + engine.index,
                engine.index,
                address(engine),
                "dc",
                SLOTS,
                inFlight,
                interactive,
                prefill,
                false,
                SendPermission.UNLIMITED,
                options.measured() ? performance(engine) : WorkerPerformance.NOMINAL,
                "");
    }

    private void place(Kind kind) {
        long nanos = (long) (nowMillis * NANOS_PER_MILLI);
        int process = random.nextInt(PROCESSES);
        String part = kind.name() + random.nextInt(SHARED_PARTS);
        Prompt unclassified = new Prompt(
                List.of(
                        new Prompt.Part(part, kind.sharedTokens()),
                        new Prompt.Part("own-" + random.nextLong(), kind.ownTokens())),
                kind.sharedTokens() + kind.ownTokens(),
                kind.events() * TOKENS_PER_EVENT,
                LatencyClass.of(kind.gapTargetMillis(), kind.targetMillis(), TOKENS_PER_EVENT));
        LatencyClass latencyClass = classifier.classify(
                new GapClassifier.Stream(
                        kind.gapTargetMillis(), kind.targetMillis(), TOKENS_PER_EVENT, unclassified.prefillMillis(0)),
                nanos);
        Prompt prompt = options.separated() ? unclassified.withLatencyClass(latencyClass) : unclassified;
        partition.recordArrival(prompt, nanos);
        List<WorkerLoad> loads = new ArrayList<>();
        for (Engine engine : engines) {
            loads.add(view(engine, process));
        }
        EngineSelector selector = new EngineSelector(
                "dc", prefixes, partition, TransferCost.ofLink(160_000, 1_000_000), classifier.gapCost(), random);
        if (!(selector.choose(prompt, loads, Integer.MAX_VALUE, nanos) instanceof SelectionResult.Selected selected)) {
            throw new IllegalStateException("no engine selected");
        }
        Engine engine = engines.stream()
                .filter(each -> selected.id().equals("engine-" + each.index))
                .findFirst()
                .orElseThrow();
        prefixes.recordSent(prompt, engine.index, nanos);
        engine.reading.add(new Stream(kind, engine, process, prompt, selected.cachedTokens()));
        if (!engine.busy) {
            engine.beginStep();
        }
    }
}
