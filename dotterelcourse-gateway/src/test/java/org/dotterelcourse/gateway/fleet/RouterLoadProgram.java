package org.dotterelcourse.gateway.fleet;

import java.lang.management.ManagementFactory;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.Set;

import com.google.protobuf.InvalidProtocolBufferException;
import org.dotterelcourse.gateway.fleet.generated.FleetProtos;
import org.dotterelcourse.gateway.workers.PeerLoads;
import org.dotterelcourse.gateway.workers.Placement;
import org.dotterelcourse.gateway.workers.WorkerEntry;
import org.dotterelcourse.gateway.workers.Workers;
import org.dotterelcourse.policy.selection.CachedPrefixes;
import org.dotterelcourse.policy.selection.EnginePartition;
import org.dotterelcourse.policy.selection.EngineSelector;
import org.dotterelcourse.policy.selection.LatencyClass;
import org.dotterelcourse.policy.selection.LeastLoadedSelector;
import org.dotterelcourse.policy.selection.Prompt;
import org.dotterelcourse.policy.selection.SelectionResult;
import org.dotterelcourse.policy.selection.TransferCost;
import org.dotterelcourse.policy.selection.WorkerLoad;

/**
 * Performs the selections and the exchange of loads of one router without network, at virtual time, and prints the
 * processor time of each per second of a day. The first of two days begins with a cold JVM, as that of a router does.
 */
public final class RouterLoadProgram {
    private static final long SECOND = 1_000_000_000L;
    private static final long TICK_NANOS = SECOND / 10;
    private static final int DAY_SECONDS = 53;
    private static final double REQUESTS_PER_TICK = 0.7;
    private static final double PLAIN_SHARE = 0.24;
    private static final int MESSAGES = 50;

    private final Random random = new Random(3);
    private final Fleet fleet;
    private final Workers workers = new Workers();
    private final CachedPrefixes prefixes = new CachedPrefixes();
    private final EnginePartition partition = new EnginePartition();
    private final EngineSelector selector =
            new EngineSelector("dc-0", prefixes, partition, TransferCost.ofLink(160_000, 10_000), new Random(4));
    private final LeastLoadedSelector leastLoaded = new LeastLoadedSelector(new Random(5));
    private final Deque<Running> running = new ArrayDeque<>();
    private final Map<String, Long> nanosByTask = new HashMap<>();
    private long now = SECOND;
    private long requests;

    /**
     * A fleet as seen by one of its routers.
     *
     * @param name name of the row in the output
     * @param engines engines of the upstream
     * @param reporters routers that report to this one; 0 if it is not a collector
     * @param otherCollectors collectors that exchange sums with this one
     */
    private record Fleet(String name, int engines, int reporters, int otherCollectors) {}

    private record Running(Placement placement, long endNanos) {}

    private RouterLoadProgram(Fleet fleet) {
        this.fleet = fleet;
    }

    /**
     * Runs all fleets.
     *
     * @param arguments seconds of a day, by default 53, and names of fleets to run, by default all
     */
    public static void main(String[] arguments) throws InvalidProtocolBufferException {
        List<Fleet> fleets = List.of(
                new Fleet("65-reporter", 98, 0, 0),
                new Fleet("65-collector", 98, 16, 3),
                new Fleet("340-reporter", 4_200, 0, 0),
                new Fleet("340-collector", 4_200, 24, 13));
        System.out.println("fleet, day: processor time in microseconds per second of the day");
        int seconds = arguments.length == 0 ? DAY_SECONDS : Integer.parseInt(arguments[0]);
        for (Fleet fleet : fleets) {
            if (arguments.length < 2 || Set.of(arguments).contains(fleet.name())) {
                new RouterLoadProgram(fleet).run(seconds);
            }
        }
    }

    private void run(int seconds) throws InvalidProtocolBufferException {
        for (int i = 0; i < fleet.engines(); i++) {
            addWorker("engine-" + i, "engines", i, 32);
        }
        for (int i = 0; i < 4; i++) {
            addWorker("service-" + i, "service", 10_000 + i, 6);
        }
        List<byte[]> others = messages(FleetProtos.LoadReport.Kind.OTHERS, fleet.engines());
        List<byte[]> gathered = messages(FleetProtos.LoadReport.Kind.GATHERED, fleet.engines());
        List<byte[]> own = messages(FleetProtos.LoadReport.Kind.OWN, Math.min(8, fleet.engines()));
        for (int day = 1; day <= 2; day++) {
            nanosByTask.clear();
            requests = 0;
            for (int tick = 0; tick < seconds * SECOND / TICK_NANOS; tick++) {
                tick(tick, others, gathered, own);
            }
            StringBuilder line = new StringBuilder(fleet.name() + ", day " + day + ":");
            nanosByTask.entrySet().stream()
                    .sorted(Map.Entry.comparingByKey())
                    .forEach(task -> line.append(
                            String.format(Locale.ROOT, " %s %.0f", task.getKey(), task.getValue() / 1e3 / seconds)));
            System.out.println(line + " (" + requests + " requests)");
        }
    }

    private void addWorker(String id, String upstream, int number, int slots) {
        workers.addOrUpdate(
                new WorkerEntry(
                        id,
                        1,
                        upstream,
                        "10.1." + number / 250 + "." + number % 250,
                        8_000,
                        "dc-" + number % 4,
                        slots,
                        false,
                        0,
                        ""),
                now);
    }

    private void tick(int tick, List<byte[]> others, List<byte[]> gathered, List<byte[]> own)
            throws InvalidProtocolBufferException {
        now += TICK_NANOS;
        int periodTicks = (int) (ReportPeriods.collectedMillis(fleet.engines(), 0) * 1_000_000L / TICK_NANOS);
        if (tick % 12 == 0) {
            String id = "engine-" + random.nextInt(fleet.engines());
            timed("entry", () -> workers.find(id).ifPresent(worker -> workers.addOrUpdate(worker.entry(), now)));
        }
        boolean exchanges = tick % periodTicks == 0;
        if (exchanges && fleet.reporters() == 0) {
            byte[] body = others.get(tick % MESSAGES);
            timed("receive", () -> receive("collector", PeerLoads.Scope.OTHERS, body));
        }
        for (int i = 0; exchanges && i < fleet.reporters(); i++) {
            String peer = "router-" + i;
            byte[] body = own.get((tick + i) % MESSAGES);
            timed("receive", () -> receive(peer, PeerLoads.Scope.OWN, body));
        }
        for (int i = 0; exchanges && i < fleet.otherCollectors(); i++) {
            String peer = "collector-" + i;
            byte[] body = gathered.get((tick + i) % MESSAGES);
            timed("receive", () -> receive(peer, PeerLoads.Scope.GATHERED, body));
        }
        while (!running.isEmpty() && running.peek().endNanos() <= now) {
            Running ended = running.poll();
            timed("placement", () -> {
                ended.placement().recordSuccess(now);
                ended.placement().end();
            });
        }
        double arrivals = REQUESTS_PER_TICK * (tick + 1);
        for (long i = (long) (arrivals - REQUESTS_PER_TICK); i < (long) arrivals; i++) {
            requests++;
            if (random.nextDouble() < PLAIN_SHARE) {
                timed("select-plain", this::selectPlain);
            } else {
                Prompt prompt = prompt();
                timed("select-engine", () -> selectEngine(prompt));
            }
        }
        if (exchanges || fleet.reporters() == 0) {
            timed("send", this::send);
        }
    }

    private void timed(String task, Runnable action) {
        long before = cpuNanos();
        action.run();
        nanosByTask.merge(task, cpuNanos() - before, Long::sum);
    }

    private static long cpuNanos() {
        return ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime();
    }

    private void selectPlain() {
        List<WorkerLoad> candidates = workers.candidates("service", Set.of(), now);
        leastLoaded.select("dc-0", candidates, now).ifPresent(id -> place(id, 0, false));
    }

    private void selectEngine(Prompt prompt) {
        partition.recordArrival(prompt, now);
        List<WorkerLoad> candidates = workers.candidates("engines", Set.of(), now);
        SelectionResult result = selector.choose(prompt, candidates, 20, now);
        if (result instanceof SelectionResult.Selected selected) {
            int incarnation = workers.find(selected.id()).orElseThrow().entry().incarnation();
            prefixes.recordSent(prompt, incarnation, now);
            place(
                    selected.id(),
                    prompt.prefillMillis(selected.cachedTokens()),
                    prompt.latencyClass() == LatencyClass.GAP_SENSITIVE);
        }
    }

    private void place(String id, double prefillMillis, boolean interactive) {
        Placement placement = workers.place(workers.find(id).orElseThrow(), interactive, prefillMillis, now);
        running.add(new Running(placement, now + SECOND));
    }

    private Prompt prompt() {
        int kind = random.nextInt(3);
        int[] shared = {350, 6_300, 13_300};
        int[] own = {1_110, 2_890, 3_720};
        return new Prompt(
                List.of(
                        new Prompt.Part("shared-" + kind + "-" + random.nextInt(6), shared[kind]),
                        new Prompt.Part("own-" + requests, own[kind])),
                shared[kind] + own[kind],
                100,
                LatencyClass.values()[kind]);
    }

    private void receive(String peer, PeerLoads.Scope scope, byte[] body) {
        try {
            FleetProtos.LoadReport report = FleetProtos.LoadReport.parseFrom(body);
            workers.recordPeerLoads(peer, scope, LoadCodec.decode(report.getWorkers()), now);
            for (int i = 0; i < report.getPartsCount(); i++) {
                prefixes.recordPeerReport(
                        new CachedPrefixes.PartLocation(report.getParts(i), report.getPartWorkers(i)), now);
            }
        } catch (InvalidProtocolBufferException e) {
            throw new IllegalStateException(e);
        }
    }

    private void send() {
        if (fleet.reporters() == 0) {
            encode(FleetProtos.LoadReport.Kind.OWN, new LoadColumns(workers.localLoads(now)).encode());
            return;
        }
        encode(FleetProtos.LoadReport.Kind.GATHERED, new LoadColumns(workers.aggregatedLoads(now)).encode());
        LoadColumns all = new LoadColumns(workers.collectedLoads().all(now));
        for (int i = 0; i < fleet.reporters(); i++) {
            byte[] rest = all.encode(workers.collectedLoads().changesExcluding("router-" + i, now));
            encode(FleetProtos.LoadReport.Kind.OTHERS, rest);
        }
    }

    private static void encode(FleetProtos.LoadReport.Kind kind, byte[] loads) {
        FleetProtos.LoadReport report =
                FleetProtos.LoadReport.newBuilder().setKind(kind).build();
        if (ReportEncoder.concatenate(new byte[0], report, loads).length == 0) {
            throw new IllegalStateException("a report is not empty");
        }
    }

    /** Reports with random loads at the given number of engines, and the location of a prompt part in some of them. */
    private List<byte[]> messages(FleetProtos.LoadReport.Kind kind, int rows) {
        List<byte[]> messages = new ArrayList<>();
        for (int i = 0; i < MESSAGES; i++) {
            Map<Integer, PeerLoads.Load> loads = new HashMap<>();
            while (loads.size() < rows) {
                int worker = new WorkerEntry(
                                "engine-" + random.nextInt(fleet.engines()), 1, "", "", 0, "", 0, false, 0, "")
                        .incarnation();
                loads.put(
                        worker,
                        new PeerLoads.Load(
                                random.nextInt(10), random.nextInt(3), random.nextInt(900), random.nextInt(20), 0));
            }
            FleetProtos.LoadReport.Builder report =
                    FleetProtos.LoadReport.newBuilder().setKind(kind).setWorkers(LoadCodec.encode(loads));
            for (int j = 0; j < rows / 30; j++) {
                report.addParts(("shared-" + random.nextInt(3) + "-" + random.nextInt(6)).hashCode())
                        .addPartWorkers(loads.keySet().stream()
                                .skip(random.nextInt(rows))
                                .findFirst()
                                .orElseThrow());
            }
            messages.add(report.build().toByteArray());
        }
        return messages;
    }
}
