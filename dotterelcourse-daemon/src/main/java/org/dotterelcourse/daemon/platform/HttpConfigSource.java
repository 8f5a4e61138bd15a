package org.dotterelcourse.daemon.platform;

import java.io.IOException;
import java.time.Duration;
import java.util.Locale;

import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.handler.codec.http.HttpHeaders;
import org.dotterelcourse.daemon.http.IdentifiedCalls;
import reactor.core.publisher.Mono;
import reactor.netty.http.client.HttpClient;

/** HTTP client of the configuration service; see docs/PROTOCOLS.md, "Configuration service". */
public final class HttpConfigSource implements ConfigSource {
    private static final Duration READ_TIMEOUT = Duration.ofSeconds(2);

    /** The service answers a watch within 10 s; a longer silence means that the connection is lost. */
    private static final Duration WATCH_TIMEOUT = Duration.ofSeconds(13);

    private static final int OK = 200;
    private static final int NO_CONTENT = 204;
    private static final int NOT_FOUND = 404;

    private final HttpClient client;
    private final ObjectMapper json = new ObjectMapper();

    /**
     * Creates a client. It does not limit the rate of its calls; the caller has to.
     *
     * @param address IP address and port of the service
     */
    public HttpConfigSource(String address) {
        this.client = IdentifiedCalls.configure(HttpClient.create()).baseUrl("http://" + address);
    }

    @Override
    public Mono<Long> head() {
        return read("/v1/configuration/head", READ_TIMEOUT).map(response -> parseNumber(response.body()));
    }

    @Override
    public Mono<ConfigEntry> whole() {
        return read("/v1/configuration/whole", READ_TIMEOUT).map(HttpConfigSource::parseEntry);
    }

    @Override
    public Mono<ConfigEntry> entry(long number) {
        return read("/v1/configuration/" + number, READ_TIMEOUT).map(HttpConfigSource::parseEntry);
    }

    @Override
    public Mono<Long> watch(long after) {
        return read("/v1/configuration/watch?after=" + after, WATCH_TIMEOUT)
                .map(response -> parseNumber(response.body()));
    }

    private Mono<Response> read(String path, Duration timeout) {
        return client.get()
                .uri(path)
                .responseSingle((response, body) -> body.asString()
                        .defaultIfEmpty("")
                        .map(text -> new Response(response.status().code(), response.responseHeaders(), text)))
                .timeout(timeout)
                .flatMap(response -> checkStatus(path, response));
    }

    private static Mono<Response> checkStatus(String path, Response response) {
        if (response.status() == NO_CONTENT || response.status() == NOT_FOUND) {
            return Mono.empty();
        }
        if (response.status() != OK) {
            return Mono.error(
                    new IOException("configuration service returned status " + response.status() + " for " + path));
        }
        return Mono.just(response);
    }

    private long parseNumber(String body) {
        try {
            return json.readTree(body).required("number").asLong();
        } catch (IOException | IllegalArgumentException e) {
            throw new IllegalStateException("response of the configuration service has no number", e);
        }
    }

    private static ConfigEntry parseEntry(Response response) {
        long number = Long.parseLong(response.headers().get("X-Number"));
        String kind = response.headers().get("X-Kind").toUpperCase(Locale.ROOT);
        return new ConfigEntry(number, ConfigEntry.Kind.valueOf(kind), response.body());
    }

    private record Response(int status, HttpHeaders headers, String body) {}
}
