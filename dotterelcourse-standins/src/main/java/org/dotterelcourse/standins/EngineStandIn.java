package org.dotterelcourse.standins;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Future;

/**
 * A model engine that batches continuously. Its answer is {@link ExpectedAnswer}; docs/PROTOCOLS.md says what it speaks.
 * Beside that, {@code GET /_stats} shows what it did for each request id and {@code POST /_fault} switches faults.
 */
public final class EngineStandIn implements StandIn {
    private static final int REPORTS_PER_LAG = 10;
    private static final long SHORTEST_REPORT_NANOS = 5_000_000L;

    /**
     * A load report.
     *
     * @param running how many sequences are in the batch
     * @param waiting how many wait for it
     * @param kvUsed the fraction of the KV cache in use, 0 to 1
     * @param batchLimit how many sequences the batch takes
     * @param reportedAtMillis when it was true, milliseconds since 1970
     * @param leaving whether the engine takes no more work
     * @param models what is loaded
     * @param fence the highest fencing number seen
     * @param role the engine's role
     */
    record Report(
            int running,
            int waiting,
            double kvUsed,
            int batchLimit,
            long reportedAtMillis,
            boolean leaving,
            List<EngineOrders.Model> models,
            long fence,
            String role) {}

    private record Dated(long nanos, Report report) {}

    private final EngineOptions options;
    private final EngineCounts counts = new EngineCounts();
    private final KvStore kv = new KvStore();
    private final PrefixCache cache;
    private final EngineLoop loop;
    private final EngineOrders orders;
    private final StandInServer server;
    private final FaultSwitch faults;
    private final Map<String, List<Sequence>> byRequest = new HashMap<>();
    private final Deque<Dated> reports = new ArrayDeque<>();
    private boolean stepping;
    private boolean closed;
    private Future<?> reporter;

    EngineStandIn(EngineOptions options) {
        this.options = options;
        cache = new PrefixCache(
                options.cacheBlocks(),
                options.cacheEventDelay().toNanos(),
                options.cacheEventLoss(),
                options.seed(),
                System::nanoTime);
        loop = new EngineLoop(options.shape(), cache, counts);
        orders = new EngineOrders(options.fencing(), options.loadTime(), options.weightStore(), options.models());
        server = new StandInServer(options.port(), new EngineRoutes(this)::handle);
        faults = new FaultSwitch(server, this::faultsChanged);
    }

    /**
     * Starts a description of an engine.
     *
     * @return the builder
     */
    public static EngineBuilder builder() {
        return new EngineBuilder();
    }

    /**
     * Listens.
     *
     * @return this
     */
    public EngineStandIn start() {
        server.listen();
        report();
        long every = Math.max(SHORTEST_REPORT_NANOS, options.reportLag().toNanos() / REPORTS_PER_LAG);
        reporter = Timers.every(every, this::report);
        return this;
    }

    @Override
    public String address() {
        return server.address();
    }

    @Override
    public void fault(Fault fault) {
        faults.set(fault);
    }

    @Override
    public void close() {
        synchronized (this) {
            closed = true;
        }
        if (reporter != null) {
            reporter.cancel(false);
        }
        faults.close();
        server.close();
    }

    /**
     * What it did for each request.
     *
     * @return the counts by request id
     */
    public Map<String, RequestCount> stats() {
        return counts.snapshot();
    }

    /**
     * How many sequences are in the batch now, without the report's lag.
     *
     * @return the number
     */
    public synchronized int running() {
        return loop.running();
    }

    /**
     * How many requests wait for the batch now, without the report's lag.
     *
     * @return the number
     */
    public synchronized int waiting() {
        return loop.waiting();
    }

    /**
     * How many orders it took.
     *
     * @return the number
     */
    public long ordersAccepted() {
        return orders.accepted();
    }

    EngineOrders orders() {
        return orders;
    }

    FaultSwitch faults() {
        return faults;
    }

    /** Takes a request in; false when it is full. */
    synchronized boolean offer(Sequence sequence) {
        if (!loop.offer(sequence)) {
            return false;
        }
        byRequest.computeIfAbsent(sequence.requestId, id -> new ArrayList<>()).add(sequence);
        step();
        return true;
    }

    /** Gives a request up, when its connection closed. */
    synchronized void cancel(Sequence sequence) {
        if (forget(sequence)) {
            kv.keep(sequence);
            loop.cancel(sequence);
        }
    }

    synchronized void cancel(String requestId) {
        for (Sequence each : List.copyOf(byRequest.getOrDefault(requestId, List.of()))) {
            cancel(each);
            each.sink.lost();
        }
    }

    synchronized byte[] exportKv(String requestId) {
        byRequest.getOrDefault(requestId, List.of()).forEach(kv::keep);
        return kv.export(requestId);
    }

    synchronized void importKv(String requestId, byte[] bytes) {
        kv.put(requestId, bytes);
    }

    synchronized boolean covers(String requestId, String prompt, int tokens) {
        return kv.covers(requestId, prompt, tokens);
    }

    synchronized List<PrefixCache.Event> cacheEvents(long after) {
        return cache.eventsAfter(after);
    }

    /** The newest report that is at least the lag old, or the oldest there is. */
    synchronized Report lateReport() {
        long newest = System.nanoTime() - options.reportLag().toNanos();
        while (reports.size() > 1 && secondReport().nanos - newest <= 0) {
            reports.removeFirst();
        }
        return reports.peekFirst().report;
    }

    private Dated secondReport() {
        var iterator = reports.iterator();
        iterator.next();
        return iterator.next();
    }

    private synchronized void report() {
        double used = Math.min(1.0, loop.tokensHeld() / (double) options.kvTokens());
        reports.addLast(new Dated(
                System.nanoTime(),
                new Report(
                        loop.running(),
                        loop.waiting(),
                        used,
                        options.shape().batchLimit(),
                        System.currentTimeMillis(),
                        faults.on(Fault.Kind.LEAVING),
                        orders.models(),
                        orders.fence(),
                        orders.role())));
        lateReport();
    }

    private void step() {
        if (stepping || closed || faults.on(Fault.Kind.STALL) || faults.on(Fault.Kind.CRASH)) {
            return;
        }
        long nanos = loop.begin();
        if (nanos > 0) {
            stepping = true;
            Timers.after((long) (nanos * faults.factor()), this::stepped);
        }
    }

    private synchronized void stepped() {
        stepping = false;
        if (closed || faults.on(Fault.Kind.STALL) || faults.on(Fault.Kind.CRASH)) {
            return;
        }
        for (Sequence each : loop.end()) {
            forget(each);
            kv.keep(each);
            each.sink.finished(each);
        }
        step();
    }

    private boolean forget(Sequence sequence) {
        List<Sequence> same = byRequest.get(sequence.requestId);
        if (same == null || !same.remove(sequence)) {
            return false;
        }
        if (same.isEmpty()) {
            byRequest.remove(sequence.requestId);
        }
        return true;
    }

    private synchronized void faultsChanged() {
        if (faults.on(Fault.Kind.CRASH)) {
            loop.clear();
            byRequest.clear();
            kv.clear();
            cache.clear();
        }
        step();
    }
}
