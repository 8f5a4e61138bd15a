package org.dotterelcourse.gateway.forward;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.UnaryOperator;

import com.codahale.metrics.MetricRegistry;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import org.dotterelcourse.daemon.http.exchange.InvalidResponseException;
import org.dotterelcourse.daemon.http.exchange.ResponseFault;
import org.dotterelcourse.daemon.http.exchange.ResponseMatcher;
import org.dotterelcourse.gateway.GatewayLoop;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import reactor.core.publisher.Mono;

import static org.assertj.core.api.Assertions.assertThat;

final class LeftoverDataTest {
    private static final long TIMEOUT_MILLIS = 5_000;

    private static final String RESPONSE = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

    private final GatewayLoop loop = new GatewayLoop();

    @AfterEach
    void stopLoop() {
        loop.stop();
    }

    // Guards against a worker that sends second responses without a count, a log line or the end of reuse.
    @ParameterizedTest
    @ValueSource(strings = {"HTTP/1.1 200 OK\r\nContent-Ty", RESPONSE})
    void dataInThePacketOfTheEndOfAResponseIsReported(String leftover) throws Exception {
        List<ResponseFault.Kind> faults = new CopyOnWriteArrayList<>();
        try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            CompletableFuture<Integer> worker = CompletableFuture.supplyAsync(() -> serve(server, RESPONSE + leftover));
            WorkerClient client = new WorkerClient(
                    loop,
                    UnaryOperator.identity(),
                    ResponseMatcher.ANY,
                    fault -> faults.add(fault.kind()),
                    ResponseMemory.ofHeap(System::nanoTime, new MetricRegistry()));
            Integer status = client.send(
                            new InetSocketAddress("127.0.0.1", server.getLocalPort()),
                            HttpMethod.GET,
                            "/",
                            new DefaultHttpHeaders().add("Host", "w"),
                            new byte[0],
                            WorkerClient.ConnectListener.NONE)
                    .flatMap(response -> response.body().then(Mono.just(response.status())))
                    .block(Duration.ofMillis(TIMEOUT_MILLIS));
            assertThat(status).isEqualTo(200);
            assertThat(worker.get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS))
                    .as("end of the connection")
                    .isEqualTo(-1);
            CountDownLatch onLoop = new CountDownLatch(1);
            loop.execute(onLoop::countDown);
            assertThat(onLoop.await(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)).isTrue();
        }
        assertThat(faults).containsExactly(ResponseFault.Kind.UNSOLICITED_DATA);
    }

    // Guards against a connection that stays open and keeps its place in the pool after an upgrade for another request.
    @Test
    void anUpgradeForAnotherRequestClosesTheConnection() throws Exception {
        List<ResponseFault> faults = new CopyOnWriteArrayList<>();
        String upgrade = "HTTP/1.1 101 Switching Protocols\r\nId: 0\r\nUpgrade: x\r\n\r\n";
        ResponseMatcher matcher = new ResponseMatcher() {
            @Override
            public String requestId(HttpHeaders request) {
                return "1";
            }

            @Override
            public Match match(String requestId, HttpHeaders response) {
                return response.contains("Id") ? Match.FOREIGN : Match.OWN;
            }
        };
        try (ServerSocket server = new ServerSocket(0, 2, InetAddress.getLoopbackAddress())) {
            CompletableFuture<Integer> first = CompletableFuture.supplyAsync(() -> serve(server, upgrade + RESPONSE));
            WorkerClient client = new WorkerClient(
                    loop,
                    UnaryOperator.identity(),
                    matcher,
                    faults::add,
                    ResponseMemory.ofHeap(System::nanoTime, new MetricRegistry()));
            String firstResult = result(client, server);
            CompletableFuture.supplyAsync(() -> serve(server, RESPONSE));
            String secondResult = result(client, server);
            String all = firstResult + " | " + secondResult + " | " + faults;
            assertThat(first.handle((next, error) -> error == null ? next : -2)
                            .get(TIMEOUT_MILLIS + 1_000, TimeUnit.MILLISECONDS))
                    .as("end of the connection after " + all)
                    .isEqualTo(-1);
            assertThat(secondResult).isEqualTo("200");
            assertThat(firstResult).contains(InvalidResponseException.class.getSimpleName());
        }
    }

    private static String result(WorkerClient client, ServerSocket server) {
        return client.send(
                        new InetSocketAddress("127.0.0.1", server.getLocalPort()),
                        HttpMethod.GET,
                        "/",
                        new DefaultHttpHeaders().add("Host", "w"),
                        new byte[0],
                        WorkerClient.ConnectListener.NONE)
                .flatMap(response -> response.body().then(Mono.just(String.valueOf(response.status()))))
                .timeout(Duration.ofMillis(TIMEOUT_MILLIS))
                .onErrorResume(error -> Mono.just(error + " by " + error.getCause()))
                .block(Duration.ofMillis(2 * TIMEOUT_MILLIS));
    }

    /** Responds to one request and returns what the client sends next, -1 for the end of the connection. */
    private static int serve(ServerSocket server, String response) {
        try (Socket socket = server.accept()) {
            socket.setSoTimeout((int) TIMEOUT_MILLIS);
            BufferedReader reader =
                    new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
            String line = reader.readLine();
            while (line != null && !line.isEmpty()) {
                line = reader.readLine();
            }
            socket.getOutputStream().write(response.getBytes(StandardCharsets.US_ASCII));
            return reader.read();
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }
}
