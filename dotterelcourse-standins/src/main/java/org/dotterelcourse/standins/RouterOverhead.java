package org.dotterelcourse.standins;

import java.time.Duration;
import java.util.Locale;
import java.util.concurrent.TimeUnit;

import io.netty.buffer.Unpooled;
import org.HdrHistogram.Histogram;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.netty.http.client.HttpClient;
import reactor.netty.resources.ConnectionProvider;

/**
 * Measures what a daemon adds to a call: the same calls are made straight to a stand-in and through a daemon, in turn
 * within one run, so that whatever else the machine does falls on both alike.
 */
public final class RouterOverhead {
    private static final int ROUNDS = 6;
    private static final int MAX_CONNECTIONS = 500;
    private static final Duration LONGEST_ROUND = Duration.ofMinutes(2);
    private static final double NANOS_PER_MILLI = 1e6;
    private static final double NANOS_PER_SECOND = 1e9;

    private final HttpClient client = HttpClient.create(ConnectionProvider.builder("overhead")
            .maxConnections(MAX_CONNECTIONS)
            .build());
    private final String key;
    private final String requestClass;

    /**
     * Makes a measurement.
     *
     * @param key the bearer key for the daemon
     * @param requestClass the class for the daemon
     */
    public RouterOverhead(String key, String requestClass) {
        this.key = key;
        this.requestClass = requestClass;
    }

    private static final class Side {
        private final Histogram times = new Histogram(TimeUnit.MINUTES.toNanos(1), 3);
        private long nanos;

        private double millis(double percentile) {
            return times.getValueAtPercentile(percentile) / NANOS_PER_MILLI;
        }

        private double perSecond() {
            return times.getTotalCount() * NANOS_PER_SECOND / nanos;
        }
    }

    /**
     * Runs, after one round of each side that doesn't count.
     *
     * @param direct the URL at the stand-in
     * @param routed the URL at the daemon
     * @param body the body of each call
     * @param calls calls a round
     * @param concurrency calls at the same time
     * @return a row of a Markdown table: concurrency, milliseconds and calls a second of both sides, and their ratios
     * @throws IllegalStateException if a call is not answered with 200
     */
    public String row(String direct, String routed, String body, int calls, int concurrency) {
        round(direct, body, calls, concurrency, new Side());
        round(routed, body, calls, concurrency, new Side());
        Side straight = new Side();
        Side through = new Side();
        for (int i = 0; i < ROUNDS; i++) {
            round(direct, body, calls, concurrency, straight);
            round(routed, body, calls, concurrency, through);
        }
        return String.format(
                Locale.ROOT,
                "| %d | %.2f | %.2f | %.2f | %.2f | %.2f | %.2f | %.0f | %.0f | %.2f |",
                concurrency,
                straight.millis(50),
                through.millis(50),
                through.millis(50) - straight.millis(50),
                straight.millis(95),
                through.millis(95),
                through.millis(50) / straight.millis(50),
                straight.perSecond(),
                through.perSecond(),
                through.perSecond() / straight.perSecond());
    }

    private void round(String url, String body, int calls, int concurrency, Side side) {
        long start = System.nanoTime();
        Flux.range(0, calls)
                .flatMap(i -> call(url, body, side), concurrency)
                .then()
                .block(LONGEST_ROUND);
        side.nanos += System.nanoTime() - start;
    }

    private Mono<Void> call(String url, String body, Side side) {
        return Mono.defer(() -> {
            long start = System.nanoTime();
            return client.headers(headers -> headers.set("Authorization", "Bearer " + key)
                            .set("X-Request-Class", requestClass)
                            .set("Content-Type", "application/json"))
                    .post()
                    .uri(url)
                    .send(Mono.fromSupplier(() -> Unpooled.wrappedBuffer(Json.utf8(body))))
                    .response((response, content) -> {
                        if (response.status().code() != 200) {
                            throw new IllegalStateException(url + " answers " + response.status());
                        }
                        return content.doOnNext(part -> {}).then();
                    })
                    .then()
                    .doOnSuccess(done -> record(side, System.nanoTime() - start));
        });
    }

    private static void record(Side side, long nanos) {
        synchronized (side) {
            side.times.recordValue(nanos);
        }
    }
}
