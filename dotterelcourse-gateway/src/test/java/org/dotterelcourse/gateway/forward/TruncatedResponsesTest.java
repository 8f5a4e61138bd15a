package org.dotterelcourse.gateway.forward;

import java.io.IOException;
import java.io.UncheckedIOException;
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
import io.netty.handler.codec.http.HttpMethod;
import org.dotterelcourse.daemon.http.exchange.ResponseFault;
import org.dotterelcourse.daemon.http.exchange.ResponseMatcher;
import org.dotterelcourse.gateway.GatewayLoop;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import reactor.core.publisher.Mono;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests that a truncated response is reported if the worker has cut it, and not if this process closes the connection. */
class TruncatedResponsesTest {
    private static final int MAX_REQUEST_BYTES = 4_096;
    private static final int RESET = 0;
    private static final Duration TIMEOUT = Duration.ofSeconds(10);
    private static final String HEAD = "HTTP/1.1 200 OK\r\n";

    private final GatewayLoop loop = new GatewayLoop();
    private final List<ResponseFault> faults = new CopyOnWriteArrayList<>();
    private CountDownLatch cancelled = new CountDownLatch(1);
    private ServerSocket server;

    @BeforeEach
    void listen() throws IOException {
        server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
    }

    @AfterEach
    void stop() throws IOException {
        server.close();
        loop.stop();
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                HEAD + "Content-Le",
                HEAD + "Content-Length: 9\r\n\r\npart",
                HEAD + "Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n"
            })
    void aResponseThatItsWorkerEndsEarlyIsReportedOnce(String beginning) {
        for (boolean isReset : List.of(false, true)) {
            faults.clear();
            CompletableFuture<Void> worker = serve(beginning, isReset, false);
            send().onErrorResume(error -> Mono.empty()).block(TIMEOUT);
            worker.join();
            awaitLoop();
            assertThat(faults)
                    .singleElement()
                    .satisfies(fault -> assertThat(fault.kind()).isEqualTo(ResponseFault.Kind.TRUNCATED_RESPONSE))
                    .satisfies(fault -> assertThat(fault.isInFlight()).isTrue());
        }
    }

    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void aResponseWithoutLengthIsReportedIfItEndsWithAReset(boolean isReset) {
        CompletableFuture<Void> worker = serve(HEAD + "\r\npart", isReset, false);
        send().onErrorResume(error -> Mono.empty()).block(TIMEOUT);
        worker.join();
        awaitLoop();
        assertThat(faults).hasSize(isReset ? 1 : 0);
    }

    // Guards against lines and counts for each request whose client has left.
    @ParameterizedTest
    @ValueSource(strings = {"", HEAD + "Content-Le", HEAD + "Content-Length: 9\r\n\r\npart", HEAD + "\r\npart"})
    void aResponseWhoseRequestIsCancelledIsNotReported(String beginning) {
        for (boolean isReset : List.of(false, true)) {
            cancelled = new CountDownLatch(1);
            CompletableFuture<Void> worker = serve(beginning, isReset, true);
            Mono<Void> abandoned = send().timeout(Duration.ofMillis(200), Mono.empty(), loop.scheduler());
            abandoned.block(TIMEOUT);
            cancelled.countDown();
            worker.join();
            awaitLoop();
            assertThat(faults).isEmpty();
        }
    }

    /** Sends a beginning to the next request, then ends the connection at once or after the request was cancelled. */
    private CompletableFuture<Void> serve(String beginning, boolean isReset, boolean isCancelled) {
        return CompletableFuture.runAsync(() -> {
            try (Socket socket = server.accept()) {
                assertThat(socket.getInputStream().read(new byte[MAX_REQUEST_BYTES]))
                        .isPositive();
                socket.getOutputStream().write(beginning.getBytes(StandardCharsets.US_ASCII));
                if (isCancelled) {
                    assertThat(cancelled.await(TIMEOUT.toMillis(), TimeUnit.MILLISECONDS))
                            .isTrue();
                } else {
                    // A reset discards what the peer has not read yet.
                    TimeUnit.MILLISECONDS.sleep(100);
                }
                if (isReset) {
                    socket.setSoLinger(true, RESET);
                }
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
    }

    private Mono<Void> send() {
        WorkerClient client = new WorkerClient(
                loop,
                UnaryOperator.identity(),
                ResponseMatcher.ANY,
                faults::add,
                ResponseMemory.ofHeap(System::nanoTime, new MetricRegistry()));
        return client.send(
                        new InetSocketAddress(server.getInetAddress(), server.getLocalPort()),
                        HttpMethod.GET,
                        "/",
                        new DefaultHttpHeaders().add("Host", "w"),
                        new byte[0],
                        WorkerClient.ConnectListener.NONE)
                .flatMap(response -> response.body().then());
    }

    /** Waits until the event loop has handled the end of the connection. */
    private void awaitLoop() {
        Mono.delay(Duration.ofMillis(50), loop.scheduler()).block(TIMEOUT);
    }
}
