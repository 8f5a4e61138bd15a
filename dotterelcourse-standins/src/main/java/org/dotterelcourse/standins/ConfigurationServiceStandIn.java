package org.dotterelcourse.standins;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

import io.netty.handler.codec.http.HttpHeaderNames;
import org.reactivestreams.Publisher;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

/**
 * The platform's configuration service: entries by number that can only be read and watched, under a quota over all
 * readers. {@code POST /_publish?kind=whole|patch} is the platform's own path; no daemon uses it.
 */
public final class ConfigurationServiceStandIn implements StandIn {
    /** What an entry holds. */
    public enum Kind {
        /** A whole document. */
        WHOLE,
        /** A patch. */
        PATCH;

        private String word() {
            return name().toLowerCase(java.util.Locale.ROOT);
        }
    }

    private record Entry(long number, Kind kind, String text) {}

    private static final String PREFIX = "/v1/configuration/";
    private static final String WATCH = PREFIX + "watch";
    private static final Duration WATCH_LIMIT = Duration.ofSeconds(10);
    private static final Duration FASTEST = Duration.ofMillis(1);

    private final List<Entry> entries = new ArrayList<>();
    private final RateLimit quota;
    private final Sinks.Many<Long> heads = Sinks.many().replay().latest();
    private final StandInServer server;
    private final FaultSwitch faults;
    private long staleHead = Long.MAX_VALUE;
    private long calls;

    private ConfigurationServiceStandIn(int port, double callsPerSecond) {
        quota = new RateLimit(callsPerSecond, Math.max(1, callsPerSecond));
        server = new StandInServer(port, this::handle);
        faults = new FaultSwitch(server, () -> {});
    }

    /**
     * Starts a description of a service.
     *
     * @return the builder
     */
    public static Builder builder() {
        return new Builder();
    }

    /**
     * Listens.
     *
     * @return this
     */
    public ConfigurationServiceStandIn start() {
        server.listen();
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
        faults.close();
        server.close();
    }

    /**
     * Publishes an entry under the next number, as the platform does.
     *
     * @param kind what it holds
     * @param text the INI text
     * @return its number, from 1
     */
    public long publish(Kind kind, String text) {
        long number;
        synchronized (this) {
            number = entries.size() + 1L;
            entries.add(new Entry(number, kind, text));
        }
        announce();
        return number;
    }

    /**
     * Makes it stale: readers see nothing above a number.
     *
     * @param head the highest number shown; {@link Long#MAX_VALUE} shows all again
     */
    public void stale(long head) {
        synchronized (this) {
            staleHead = head;
        }
        announce();
    }

    /**
     * How many calls readers made, refused ones and waiting watches among them.
     *
     * @return the number
     */
    public synchronized long calls() {
        return calls;
    }

    private synchronized long head() {
        return Math.min(entries.size(), staleHead);
    }

    private void announce() {
        heads.emitNext(head(), Sinks.EmitFailureHandler.busyLooping(Duration.ofSeconds(1)));
    }

    private Publisher<Void> handle(HttpServerRequest request, HttpServerResponse response) {
        String path = "/" + request.path();
        if (path.equals("/_fault")) {
            return Replies.withBody(request, body -> faults.set(body, response));
        }
        if (path.equals("/_publish")) {
            Kind kind = Kind.valueOf(Replies.query(request, "kind", "").toUpperCase(java.util.Locale.ROOT));
            return Replies.withBody(
                    request,
                    body -> Replies.json(
                            response, 200, Map.of("number", publish(kind, new String(body, StandardCharsets.UTF_8)))));
        }
        if (path.equals("/_stale")) {
            stale(Long.parseLong(Replies.query(request, "head", Long.toString(Long.MAX_VALUE))));
            return Replies.status(response, 200);
        }
        if (faults.on(Fault.Kind.STALL)) {
            return Mono.never();
        }
        if (faults.on(Fault.Kind.REFUSE)) {
            return Replies.problem(response, 503, "the service is out of order");
        }
        return counted(path, request, response);
    }

    private Publisher<Void> counted(String path, HttpServerRequest request, HttpServerResponse response) {
        synchronized (this) {
            calls++;
        }
        if (!quota.take(System.nanoTime())) {
            response.header("Retry-After", "1");
            return Replies.problem(response, 429, "the quota over all readers is spent");
        }
        Duration delay = Duration.ofNanos((long) ((faults.factor() - 1) * FASTEST.toNanos()));
        if (delay.isZero()) {
            return read(path, request, response);
        }
        return Mono.delay(delay).flatMap(done -> Mono.from(read(path, request, response)));
    }

    private Publisher<Void> read(String path, HttpServerRequest request, HttpServerResponse response) {
        if (path.equals(WATCH)) {
            return watch(Long.parseLong(Replies.query(request, "after", "0")), response);
        }
        if (path.equals(PREFIX + "head")) {
            return Replies.json(response, 200, Map.of("number", head()));
        }
        if (path.equals(PREFIX + "whole")) {
            return entry(newestWhole(), response);
        }
        if (path.matches(PREFIX + "\\d{1,18}")) {
            return entry(numbered(Long.parseLong(path.substring(PREFIX.length()))), response);
        }
        return Replies.problem(response, 404, "no such call");
    }

    private Publisher<Void> watch(long after, HttpServerResponse response) {
        return heads.asFlux()
                .startWith(head())
                .filter(number -> number > after)
                .next()
                .timeout(WATCH_LIMIT, Mono.empty())
                .map(number -> Replies.json(response, 200, Map.of("number", number)))
                .defaultIfEmpty(Mono.defer(() -> Mono.from(Replies.status(response, 204))))
                .flatMap(Mono::from);
    }

    private Publisher<Void> entry(Entry entry, HttpServerResponse response) {
        if (entry == null) {
            return Replies.problem(response, 404, "no such entry");
        }
        response.header("X-Number", Long.toString(entry.number))
                .header("X-Kind", entry.kind.word())
                .header(HttpHeaderNames.CACHE_CONTROL, "no-cache");
        return Replies.text(response, 200, entry.text);
    }

    private synchronized Entry newestWhole() {
        Entry newest = null;
        for (Entry each : entries) {
            if (each.kind == Kind.WHOLE && each.number <= head()) {
                newest = each;
            }
        }
        return newest;
    }

    private synchronized Entry numbered(long number) {
        return number >= 1 && number <= head() ? entries.get((int) number - 1) : null;
    }

    /** Describes a service. */
    public static final class Builder {
        private int port;
        private double callsPerSecond = 2_000;

        private Builder() {}

        /**
         * The port to listen on.
         *
         * @param value a port, 0 for any free one (the default)
         * @return this
         */
        public Builder port(int value) {
            port = value;
            return this;
        }

        /**
         * The quota over all readers.
         *
         * @param value calls a second, 2000 by default
         * @return this
         */
        public Builder quota(double value) {
            callsPerSecond = value;
            return this;
        }

        /**
         * Makes the service; it does not listen yet.
         *
         * @return the service
         */
        public ConfigurationServiceStandIn build() {
            return new ConfigurationServiceStandIn(port, callsPerSecond);
        }
    }
}
