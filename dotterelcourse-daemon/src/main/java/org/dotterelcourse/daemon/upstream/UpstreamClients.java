package org.dotterelcourse.daemon.upstream;

import java.time.Duration;

import io.netty.channel.ChannelOption;
import reactor.netty.http.client.HttpClient;
import reactor.netty.resources.ConnectionProvider;

/** The HTTP clients towards workers, with what they may and may not do on their own. */
final class UpstreamClients {
    private static final int MAX_CONNECTIONS_PER_WORKER = 500;

    /** Shorter than any idle limit seen in front of a worker, so that a pooled connection is rarely a dead one. */
    private static final Duration MAX_IDLE = Duration.ofSeconds(8);

    private static final Duration MAX_AGE = Duration.ofMinutes(5);

    private UpstreamClients() {}

    /**
     * A client with pooled connections, for what may run more than once.
     *
     * @param connect the longest time for a connection to be made
     * @return the client
     */
    static HttpClient pooled(Duration connect) {
        ConnectionProvider provider = ConnectionProvider.builder("upstream")
                .maxConnections(MAX_CONNECTIONS_PER_WORKER)
                .maxIdleTime(MAX_IDLE)
                .maxLifeTime(MAX_AGE)
                .build();
        return configured(HttpClient.create(provider), connect);
    }

    /**
     * A client that makes a connection for each call, for what must not run twice: on a pooled connection that the
     * worker has just closed, nobody can tell whether the request was read, so the caller would be told "unknown" where
     * a fresh connection would have been refused, and "not run" told.
     *
     * @param connect the longest time for a connection to be made
     * @return the client
     */
    static HttpClient fresh(Duration connect) {
        return configured(HttpClient.create(ConnectionProvider.newConnection()), connect);
    }

    private static HttpClient configured(HttpClient client, Duration connect) {
        // The client would send a request again by itself when a connection breaks early: a payout would run twice and
        // nobody would see why.
        return client.disableRetry(true).option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) connect.toMillis());
    }
}
