package org.dotterelcourse.gateway.forward;

import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;
import java.util.function.UnaryOperator;

import io.netty.channel.ChannelOption;
import io.netty.channel.ConnectTimeoutException;
import org.dotterelcourse.gateway.GatewayLoop;
import org.dotterelcourse.gateway.workers.WorkerEntry;
import reactor.core.publisher.Mono;
import reactor.netty.Connection;
import reactor.netty.tcp.TcpClient;

/**
 * Determines by a TCP connect whether a worker that aborted a request has crashed. Running workers abort responses as
 * well, but only a crashed one refuses new connections.
 */
final class WorkerProbe {
    /** The machine of a crashed process refuses within one round trip; a slower result proves nothing. */
    private static final int CONNECT_TIMEOUT_MILLIS = 250;

    private final TcpClient client;
    private final UnaryOperator<InetSocketAddress> addressMapping;

    /** Probes in flight by worker address. All requests that fail together at a worker share one probe. */
    private final Map<String, Mono<Result>> inFlight = new HashMap<>();

    WorkerProbe(GatewayLoop loop, UnaryOperator<InetSocketAddress> addressMapping) {
        this.addressMapping = addressMapping;
        client = TcpClient.newConnection()
                .runOn(loop.resources(), false)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS);
    }

    /** Result of a probe. */
    enum Result {
        /** The connection was refused: no process listens at the worker's address. */
        CRASHED,
        /** The worker accepted the connection. */
        ALIVE,
        /** The probe timed out or failed for another reason. */
        UNKNOWN
    }

    /** Connects to the worker and closes the connection at once. Must be called on the gateway's event loop. */
    Mono<Result> probe(WorkerEntry worker) {
        return Mono.defer(() -> inFlight.computeIfAbsent(
                worker.address(),
                address -> connect(worker)
                        .doFinally(signal -> inFlight.remove(address))
                        .cache()));
    }

    private Mono<Result> connect(WorkerEntry worker) {
        InetSocketAddress address = addressMapping.apply(new InetSocketAddress(worker.host(), worker.port()));
        return client.remoteAddress(() -> address)
                .connect()
                .doOnNext(Connection::dispose)
                .map(connection -> Result.ALIVE)
                .onErrorResume(error -> Mono.just(classify(error)));
    }

    private static Result classify(Throwable error) {
        boolean isRefused = error instanceof ConnectException && !(error instanceof ConnectTimeoutException);
        return isRefused ? Result.CRASHED : Result.UNKNOWN;
    }
}
