package org.dotterelcourse.daemon.platform;

import java.io.IOException;
import java.time.Duration;
import java.util.Locale;
import java.util.function.Supplier;

import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.handler.codec.http.HttpHeaders;
import reactor.core.publisher.Mono;
import reactor.netty.http.client.HttpClient;

/** Reads the configuration service over HTTP: docs/PROTOCOLS.md, "Configuration service". */
public final class HttpConfigSource implements ConfigSource {
    private static final Duration READ_TIMEOUT = Duration.ofSeconds(2);

    /** The service holds a watch for 10 s; a watch that is silent for longer hangs on a lost connection. */
    private static final Duration WATCH_TIMEOUT = Duration.ofSeconds(13);

    private static final int OK = 200;
    private static final int NO_CONTENT = 204;
    private static final int NOT_FOUND = 404;

    private final HttpClient client;
    private final Supplier<Boolean> mayRead;
    private final ObjectMapper json = new ObjectMapper();

    /**
     * Makes a reader.
     *
     * @param address IP number and port
     * @param mayRead asked before each call, takes one read from the budget; a call over budget fails at once
     */
    public HttpConfigSource(String address, Supplier<Boolean> mayRead) {
        this.client = HttpClient.create().baseUrl("http://" + address);
        this.mayRead = mayRead;
    }

    /**
     * Makes a reader with a budget of its own.
     *
     * @param address IP number and port
     * @param readsPerSecond how many calls a second it may make in the long run
     * @return the reader
     */
    public static HttpConfigSource withBudget(String address, double readsPerSecond) {
        return new HttpConfigSource(address, new ReadBudget(readsPerSecond, System::nanoTime)::take);
    }

    @Override
    public Mono<Long> head() {
        return read("/v1/configuration/head", READ_TIMEOUT).map(answer -> numberIn(answer.body()));
    }

    @Override
    public Mono<ConfigEntry> whole() {
        return read("/v1/configuration/whole", READ_TIMEOUT).map(HttpConfigSource::entryIn);
    }

    @Override
    public Mono<ConfigEntry> entry(long number) {
        return read("/v1/configuration/" + number, READ_TIMEOUT).map(HttpConfigSource::entryIn);
    }

    @Override
    public Mono<Long> watch(long after) {
        return read("/v1/configuration/watch?after=" + after, WATCH_TIMEOUT).map(answer -> numberIn(answer.body()));
    }

    private Mono<Answer> read(String path, Duration timeout) {
        return Mono.defer(() -> mayRead.get()
                ? request(path, timeout)
                : Mono.error(new IOException("this process has spent its budget of reads")));
    }

    private Mono<Answer> request(String path, Duration timeout) {
        return client.get()
                .uri(path)
                .responseSingle((response, body) -> body.asString()
                        .defaultIfEmpty("")
                        .map(text -> new Answer(response.status().code(), response.responseHeaders(), text)))
                .timeout(timeout)
                .flatMap(answer -> checked(path, answer));
    }

    private static Mono<Answer> checked(String path, Answer answer) {
        if (answer.status() == NO_CONTENT || answer.status() == NOT_FOUND) {
            return Mono.empty();
        }
        if (answer.status() != OK) {
            return Mono.error(new IOException("the configuration service answers " + answer.status() + " to " + path));
        }
        return Mono.just(answer);
    }

    private long numberIn(String body) {
        try {
            return json.readTree(body).required("number").asLong();
        } catch (IOException | IllegalArgumentException e) {
            throw new IllegalStateException("the configuration service's answer has no number", e);
        }
    }

    private static ConfigEntry entryIn(Answer answer) {
        long number = Long.parseLong(answer.headers().get("X-Number"));
        String kind = answer.headers().get("X-Kind").toUpperCase(Locale.ROOT);
        return new ConfigEntry(number, ConfigEntry.Kind.valueOf(kind), answer.body());
    }

    private record Answer(int status, HttpHeaders headers, String body) {}
}
