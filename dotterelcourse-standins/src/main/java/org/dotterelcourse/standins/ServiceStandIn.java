package org.dotterelcourse.standins;

import java.time.Duration;
import java.util.Map;
import java.util.SplittableRandom;

import io.netty.handler.codec.http.HttpHeaderNames;
import org.reactivestreams.Publisher;
import reactor.core.publisher.Mono;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

/**
 * A plain service: any path, an answer derived from the request ({@link ExpectedAnswer#service}), a service time drawn
 * from a shifted exponential distribution, and a count of each run by request id, also at {@code GET /_runs}.
 */
public final class ServiceStandIn implements StandIn {
    private final int limit;
    private final long fastestNanos;
    private final long meanExtraNanos;
    private final SplittableRandom random;
    private final RunCounts runs = new RunCounts();
    private final StandInServer server;
    private final FaultSwitch faults;
    private int running;

    private ServiceStandIn(Builder builder) {
        limit = builder.limit;
        fastestNanos = builder.fastest.toNanos();
        meanExtraNanos = builder.meanExtra.toNanos();
        random = new SplittableRandom(builder.seed);
        server = new StandInServer(builder.port, this::handle);
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
    public ServiceStandIn start() {
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
     * How often each request ran.
     *
     * @return the number of runs by request id
     */
    public Map<String, Integer> runs() {
        return runs.snapshot();
    }

    private Publisher<Void> handle(HttpServerRequest request, HttpServerResponse response) {
        String path = "/" + request.path();
        if (path.equals("/_runs")) {
            return Replies.json(response, 200, Map.of("runs", runs.snapshot()));
        }
        if (path.equals("/_fault")) {
            return Replies.withBody(request, body -> faults.set(body, response));
        }
        if (path.startsWith("/_")) {
            return Replies.problem(response, 404, "no such call");
        }
        return Replies.withBody(request, body -> call(path, request, body, response));
    }

    private Publisher<Void> call(String path, HttpServerRequest request, byte[] body, HttpServerResponse response) {
        if (faults.on(Fault.Kind.STALL)) {
            return Mono.never();
        }
        if (faults.on(Fault.Kind.LEAVING)) {
            response.header("X-Leaving", "true");
        }
        if (faults.on(Fault.Kind.LEAVING) || faults.on(Fault.Kind.REFUSE) || !enter()) {
            response.header("X-Not-Started", "true");
            return Replies.problem(response, 503, "the service takes no more work");
        }
        runs.add(Replies.requestId(request));
        response.header(HttpHeaderNames.CONTENT_TYPE, "text/plain; charset=utf-8");
        return Mono.delay(Duration.ofNanos((long) (serviceNanos() * faults.factor())))
                .doFinally(end -> leave())
                .flatMap(done -> faults.on(Fault.Kind.STALL)
                        ? Mono.never()
                        : Mono.from(response.sendString(Mono.just(ExpectedAnswer.service(path, body)))));
    }

    private synchronized boolean enter() {
        if (running >= limit) {
            return false;
        }
        running++;
        return true;
    }

    private synchronized void leave() {
        running--;
    }

    private synchronized long serviceNanos() {
        return fastestNanos + (long) (-Math.log(1.0 - random.nextDouble()) * meanExtraNanos);
    }

    /** Describes a service. */
    public static final class Builder {
        private int port;
        private int limit = 64;
        private Duration fastest = Duration.ofMillis(2);
        private Duration meanExtra = Duration.ofMillis(8);
        private long seed = 1;

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
         * How many calls may run at once; more are refused with 503 and {@code X-Not-Started}.
         *
         * @param value the number, 64 by default
         * @return this
         */
        public Builder limit(int value) {
            limit = value;
            return this;
        }

        /**
         * How long a call takes: never less than the first, and on average the sum of both.
         *
         * @param least the shortest time, 2 ms by default
         * @param extra the mean of the exponentially distributed rest, 8 ms by default
         * @return this
         */
        public Builder serviceTime(Duration least, Duration extra) {
            fastest = least;
            meanExtra = extra;
            return this;
        }

        /**
         * The seed of the service times.
         *
         * @param value the seed, 1 by default
         * @return this
         */
        public Builder seed(long value) {
            seed = value;
            return this;
        }

        /**
         * Makes the service; it does not listen yet.
         *
         * @return the service
         */
        public ServiceStandIn build() {
            return new ServiceStandIn(this);
        }
    }
}
