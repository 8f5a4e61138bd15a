package org.dotterelcourse.daemon.upstream;

import java.time.Duration;

import io.netty.channel.ChannelOption;
import org.dotterelcourse.daemon.http.IdentifiedCalls;
import reactor.netty.http.client.HttpClient;
import reactor.netty.resources.ConnectionProvider;

/** Creates the HTTP clients for calls to workers, with their connection pooling and without automatic retries. */
final class UpstreamClients {
    private static final int MAX_CONNECTIONS_PER_WORKER = 500;

    /** Shorter than any idle timeout seen in front of a worker, so that few pooled connections are already closed. */
    private static final Duration MAX_IDLE_TIME = Duration.ofSeconds(8);

    private static final Duration MAX_LIFETIME = Duration.ofMinutes(5);

    private UpstreamClients() {}

    /**
     * Creates a client with pooled connections, for calls that may run more than once. Only connections of workers that
     * repeat a call's id are used again.
     *
     * @param connectTimeout the maximum time to establish a connection
     * @return the client
     */
    static HttpClient pooled(Duration connectTimeout) {
        ConnectionProvider provider = ConnectionProvider.builder("upstream")
                .maxConnections(MAX_CONNECTIONS_PER_WORKER)
                .maxIdleTime(MAX_IDLE_TIME)
                .maxLifeTime(MAX_LIFETIME)
                .build();
        return configure(HttpClient.create(provider), connectTimeout);
    }

    /**
     * Creates a client that opens a new connection for each call, for calls that must not run twice. If the worker has
     * just closed a pooled connection, it is uncertain whether it read the request, so the client would get the outcome
     * "unknown". A new connection would be refused, which gives the certain outcome "not run".
     *
     * @param connectTimeout the maximum time to establish a connection
     * @return the client
     */
    static HttpClient unpooled(Duration connectTimeout) {
        return configure(HttpClient.create(ConnectionProvider.newConnection()), connectTimeout);
    }

    private static HttpClient configure(HttpClient client, Duration connectTimeout) {
        // By default the HTTP client resends a request if the connection breaks early. A payout could then run twice
        // without a trace of the cause.
        return IdentifiedCalls.configure(client).disableRetry(true).option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int)
                connectTimeout.toMillis());
    }
}
