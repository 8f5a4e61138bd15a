package org.dotterelcourse.daemon.platform;

import java.io.IOException;
import java.time.Duration;
import java.util.Locale;

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
    private final ObjectMapper json = new ObjectMapper();

    /**
     * Makes a reader. It keeps no budget: whoever reads through it does.
     *
     * @param address IP number and port
     */
    public HttpConfigSource(String address) {
        this.client = HttpClient.create().baseUrl("http://" + address);
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
