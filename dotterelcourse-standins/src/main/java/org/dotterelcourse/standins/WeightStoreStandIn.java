package org.dotterelcourse.standins;

import java.util.Map;

import org.reactivestreams.Publisher;
import reactor.core.publisher.Mono;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

/** The platform's weight store: answers 200 to any model and version, or 429 when its rate is spent. */
public final class WeightStoreStandIn implements StandIn {
    private static final String PREFIX = "/v1/weights/";

    private final RateLimit rate;
    private final RunCounts reads = new RunCounts();
    private final StandInServer server;
    private final FaultSwitch faults;

    private WeightStoreStandIn(int port, double readsPerSecond) {
        rate = new RateLimit(readsPerSecond, Math.max(1, readsPerSecond));
        server = new StandInServer(port, this::handle);
        faults = new FaultSwitch(server, () -> {});
    }

    /**
     * Starts a description of a store.
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
    public WeightStoreStandIn start() {
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
     * How often each model was read.
     *
     * @return the number of reads by {@code model/version}
     */
    public Map<String, Integer> reads() {
        return reads.snapshot();
    }

    private Publisher<Void> handle(HttpServerRequest request, HttpServerResponse response) {
        String path = "/" + request.path();
        if (path.equals("/_fault")) {
            return Replies.withBody(request, body -> faults.set(body, response));
        }
        if (faults.on(Fault.Kind.STALL)) {
            return Mono.never();
        }
        if (!path.startsWith(PREFIX)) {
            return Replies.problem(response, 404, "no such call");
        }
        if (faults.on(Fault.Kind.REFUSE) || !rate.take(System.nanoTime())) {
            response.header("Retry-After", "1");
            return Replies.problem(response, 429, "the rate is spent");
        }
        reads.add(path.substring(PREFIX.length()));
        return Replies.json(response, 200, Map.of("model", path.substring(PREFIX.length())));
    }

    /** Describes a store. */
    public static final class Builder {
        private int port;
        private double readsPerSecond = 10;

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
         * The rate over all engines.
         *
         * @param value reads a second, 10 by default
         * @return this
         */
        public Builder rate(double value) {
            readsPerSecond = value;
            return this;
        }

        /**
         * Makes the store; it does not listen yet.
         *
         * @return the store
         */
        public WeightStoreStandIn build() {
            return new WeightStoreStandIn(port, readsPerSecond);
        }
    }
}
