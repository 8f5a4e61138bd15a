package org.dotterelcourse.standins;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;

import com.fasterxml.jackson.databind.JsonNode;
import reactor.core.Disposable;
import reactor.core.Disposables;
import reactor.core.publisher.Mono;
import reactor.netty.http.client.HttpClient;
import reactor.netty.resources.ConnectionProvider;

/**
 * An open-loop load: requests arrive when they arrive, answered or not. Every answer is compared with what it must be.
 * Latencies count from the arrival that was planned, so that a late sender does not hide a slow answer.
 */
public final class LoadGenerator {
    private static final Duration CONNECT_LIMIT = Duration.ofSeconds(2);
    private static final Duration IDLE_LIMIT = Duration.ofSeconds(10);
    private static final int MAX_COUNTERS_BYTES = 256 << 20;
    private static final double NANOS_PER_SECOND = 1e9;

    private final LoadSpec spec;
    private final Map<String, ClassTally> tallies = new LinkedHashMap<>();
    private final Disposable.Composite calls = Disposables.composite();

    /**
     * Makes a generator for one run.
     *
     * @param spec the run
     */
    public LoadGenerator(LoadSpec spec) {
        this.spec = spec;
        spec.classes().forEach(each -> tallies.put(each.name(), new ClassTally(each)));
    }

    /**
     * Runs the load and waits for its end.
     *
     * @return what became of it
     * @throws InterruptedException if the thread is interrupted
     */
    public LoadResult run() throws InterruptedException {
        ConnectionProvider connections = ConnectionProvider.builder("load")
                .maxConnections(spec.maxInFlight())
                .pendingAcquireMaxCount(-1)
                .maxIdleTime(IDLE_LIMIT)
                .build();
        try {
            // Without disableRetry, the client would send a request a second time by itself after a reset.
            HttpClient client = HttpClient.create(connections)
                    .disableRetry(true)
                    .option(io.netty.channel.ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) CONNECT_LIMIT.toMillis());
            return run(client);
        } finally {
            connections.disposeLater().block(CONNECT_LIMIT);
        }
    }

    private LoadResult run(HttpClient client) throws InterruptedException {
        List<Arrivals.Arrival> arrivals = Arrivals.of(spec);
        String run = "run" + Long.toString(System.currentTimeMillis(), Character.MAX_RADIX);
        LoadCaller caller = new LoadCaller(client, new AddressCache(client, spec.daemons(), spec.seed()), run);
        Semaphore slots = new Semaphore(spec.maxInFlight());
        long start = System.nanoTime();
        for (Arrivals.Arrival each : arrivals) {
            waitUntil(start + each.nanos());
            ClassTally tally = tallies.get(each.requestClass().name());
            if (slots.tryAcquire()) {
                send(caller, each, start + each.nanos(), tally, slots);
            } else {
                tally.skipped();
            }
        }
        slots.tryAcquire(spec.maxInFlight(), spec.drain().toNanos(), TimeUnit.NANOSECONDS);
        calls.dispose();
        return result(client, run, (System.nanoTime() - start) / NANOS_PER_SECOND);
    }

    private void send(LoadCaller caller, Arrivals.Arrival arrival, long dueNanos, ClassTally tally, Semaphore slots) {
        String id = caller.requestId(arrival);
        tally.sent(id);
        CallOutcome[] outcome = {new CallOutcome.Unknown("no answer", false)};
        Disposable.Swap handle = Disposables.swap();
        calls.add(handle);
        handle.update(caller.call(arrival, dueNanos)
                .onErrorResume(error -> Mono.just(new CallOutcome.Unknown(error.toString(), false)))
                .doOnNext(end -> outcome[0] = end)
                .doFinally(signal -> {
                    tally.ended(id, outcome[0]);
                    calls.remove(handle);
                    slots.release();
                })
                .subscribe());
    }

    private static void waitUntil(long nanos) throws InterruptedException {
        long left = nanos - System.nanoTime();
        while (left > 0) {
            if (Thread.interrupted()) {
                throw new InterruptedException();
            }
            LockSupport.parkNanos(left);
            left = nanos - System.nanoTime();
        }
    }

    private LoadResult result(HttpClient client, String run, double seconds) {
        Map<String, Integer> runs = new HashMap<>();
        long generated = 0;
        for (String each : spec.counters()) {
            JsonNode stats = read(client, each, "/_stats").path("requests");
            generated += addStats(stats, run, runs);
            addRuns(read(client, each, "/_runs").path("runs"), run, runs);
        }
        List<ClassResult> classes = new ArrayList<>();
        Map<String, Integer> reasons = new TreeMap<>();
        long useful = 0;
        for (Map.Entry<String, ClassTally> each : tallies.entrySet()) {
            classes.add(each.getValue().result(runs));
            each.getValue().reasons().forEach((reason, count) -> reasons.put(each.getKey() + ": " + reason, count));
            useful += each.getValue().tokens();
        }
        return new LoadResult(classes, seconds, generated, Math.max(0, generated - useful), reasons);
    }

    private static long addStats(JsonNode stats, String run, Map<String, Integer> runs) {
        long generated = 0;
        for (Map.Entry<String, JsonNode> each : stats.properties()) {
            if (each.getKey().startsWith(run)) {
                runs.merge(each.getKey(), each.getValue().path("started").asInt(), Integer::sum);
                generated += each.getValue().path("generated").asLong();
            }
        }
        return generated;
    }

    private static void addRuns(JsonNode counts, String run, Map<String, Integer> runs) {
        for (Map.Entry<String, JsonNode> each : counts.properties()) {
            if (each.getKey().startsWith(run)) {
                runs.merge(each.getKey(), each.getValue().asInt(), Integer::sum);
            }
        }
    }

    /** An engine has no runs and a service no stats; one that is down has neither. */
    private static JsonNode read(HttpClient client, String address, String path) {
        String text = client.get()
                .uri("http://" + address + path)
                .responseSingle((response, body) -> response.status().code() == 200 ? body.asString() : Mono.just("{}"))
                .defaultIfEmpty("{}")
                .onErrorReturn("{}")
                .block(CONNECT_LIMIT.multipliedBy(10));
        return Json.parse(text == null || text.length() > MAX_COUNTERS_BYTES ? "{}" : text);
    }
}
