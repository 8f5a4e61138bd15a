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
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.UnaryOperator;

import com.codahale.metrics.MetricRegistry;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import org.dotterelcourse.daemon.http.exchange.ResponseFaultListener;
import org.dotterelcourse.daemon.http.exchange.ResponseMatcher;
import org.dotterelcourse.gateway.GatewayLoop;
import org.dotterelcourse.gateway.workers.WorkerEntry;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.reactivestreams.Subscription;
import reactor.core.publisher.BaseSubscriber;
import reactor.core.publisher.Mono;

import static org.assertj.core.api.Assertions.assertThat;

final class WorkerClientTest {
    private static final long TIMEOUT_MILLIS = 5_000;

    private final GatewayLoop loop = new GatewayLoop();

    @AfterEach
    void stopLoop() {
        loop.stop();
    }

    // A slow client that leaves after the worker's response has arrived must not close the connection, which may carry
    // the request of another client by then.
    @Test
    void cancellationOfABufferedBodyKeepsTheConnectionOfTheNextRequest() throws Exception {
        try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            CountDownLatch secondRequest = new CountDownLatch(1);
            CountDownLatch cancelled = new CountDownLatch(1);
            CompletableFuture<Void> worker =
                    CompletableFuture.runAsync(() -> serveTwoRequests(server, secondRequest, cancelled));
            WorkerClient client = new WorkerClient(
                    loop,
                    UnaryOperator.identity(),
                    ResponseMatcher.ANY,
                    ResponseFaultListener.NONE,
                    ResponseMemory.ofHeap(System::nanoTime, new MetricRegistry()));
            WorkerEntry entry = new WorkerEntry("w", 0, "u", "127.0.0.1", server.getLocalPort(), "dc", 1, false, 0, "");

            CountDownLatch firstItem = new CountDownLatch(1);
            BaseSubscriber<byte[]> slowClient = new BaseSubscriber<>() {
                @Override
                protected void hookOnSubscribe(Subscription subscription) {
                    subscription.request(1);
                }

                @Override
                protected void hookOnNext(byte[] item) {
                    firstItem.countDown();
                }
            };
            send(client, entry).flatMapMany(StreamedResponse::body).subscribe(slowClient);
            assertThat(firstItem.await(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)).isTrue();
            // The packet is processed in one pass of the loop; a request before its end would get another connection.
            awaitLoop();

            CompletableFuture<Integer> second = send(client, entry)
                    .flatMap(response -> response.body().then(Mono.just(response.status())))
                    .toFuture();
            assertThat(secondRequest.await(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS))
                    .as("second request on the same connection")
                    .isTrue();
            loop.execute(slowClient::cancel);
            awaitLoop();
            cancelled.countDown();

            assertThat(second.get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)).isEqualTo(200);
            worker.get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    /** Waits until everything that the event loop has begun before is done. */
    private void awaitLoop() throws InterruptedException {
        CountDownLatch onLoop = new CountDownLatch(1);
        loop.execute(onLoop::countDown);
        assertThat(onLoop.await(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)).isTrue();
    }

    private static Mono<StreamedResponse> send(WorkerClient client, WorkerEntry entry) {
        return client.send(
                        new InetSocketAddress(entry.host(), entry.port()),
                        HttpMethod.GET,
                        "/",
                        new DefaultHttpHeaders().add("Host", "w"),
                        new byte[0],
                        WorkerClient.ConnectListener.NONE)
                .timeout(Duration.ofMillis(TIMEOUT_MILLIS));
    }

    /** Responds to the first request with many chunks in one packet, and to the second one after the cancellation. */
    private static void serveTwoRequests(ServerSocket server, CountDownLatch secondRequest, CountDownLatch cancelled) {
        try (Socket socket = server.accept()) {
            BufferedReader reader =
                    new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
            readRequest(reader);
            write(
                    socket,
                    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + "1\r\na\r\n".repeat(50) + "0\r\n\r\n");
            readRequest(reader);
            secondRequest.countDown();
            cancelled.await(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
            write(socket, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
        } catch (IOException e) {
            throw new IllegalStateException(e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static void readRequest(BufferedReader reader) throws IOException {
        String line = reader.readLine();
        while (line != null && !line.isEmpty()) {
            line = reader.readLine();
        }
    }

    private static void write(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
    }
}
