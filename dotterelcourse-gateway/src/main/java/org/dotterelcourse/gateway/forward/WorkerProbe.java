package org.dotterelcourse.gateway.forward;

import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;

import io.netty.channel.ChannelOption;
import io.netty.channel.ConnectTimeoutException;
import org.dotterelcourse.gateway.GatewayLoop;
import org.dotterelcourse.gateway.workers.WorkerEntry;
import reactor.core.publisher.Mono;
import reactor.netty.Connection;
import reactor.netty.tcp.TcpClient;

/**
 * Finds out whether a worker that broke off a request has crashed. Workers also break off answers while they live; only a
 * crashed one refuses new connections.
 */
final class WorkerProbe {
    /** A crashed process's machine refuses within a round trip; what takes longer tells nothing. */
    private static final int TIMEOUT_MILLIS = 250;

    private final TcpClient client;

    /** Probes under way, by the worker's address: all requests that break with a worker share one. */
    private final Map<String, Mono<Finding>> underWay = new HashMap<>();

    WorkerProbe(GatewayLoop loop) {
        client = TcpClient.newConnection()
                .runOn(loop.resources(), false)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, TIMEOUT_MILLIS);
    }

    /** What became of a worker. */
    enum Finding {
        /** Nothing listens at its address. */
        CRASHED,
        /** It takes connections. */
        ALIVE,
        /** It could not be asked. */
        UNKNOWN
    }

    /** Asks for a connection, and closes it at once. Used on the gateway's loop only. */
    Mono<Finding> probe(WorkerEntry worker) {
        return Mono.defer(() -> underWay.computeIfAbsent(
                worker.address(),
                address -> connect(worker)
                        .doFinally(signal -> underWay.remove(address))
                        .cache()));
    }

    private Mono<Finding> connect(WorkerEntry worker) {
        InetSocketAddress address = new InetSocketAddress(worker.host(), worker.port());
        return client.remoteAddress(() -> address)
                .connect()
                .doOnNext(Connection::dispose)
                .map(connection -> Finding.ALIVE)
                .onErrorResume(error -> Mono.just(finding(error)));
    }

    private static Finding finding(Throwable error) {
        boolean refused = error instanceof ConnectException && !(error instanceof ConnectTimeoutException);
        return refused ? Finding.CRASHED : Finding.UNKNOWN;
    }
}
