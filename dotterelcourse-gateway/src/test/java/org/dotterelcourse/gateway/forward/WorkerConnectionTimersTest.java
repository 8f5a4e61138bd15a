package org.dotterelcourse.gateway.forward;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CompletableFuture;
import java.util.function.UnaryOperator;
import java.util.stream.Stream;

import com.codahale.metrics.MetricRegistry;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import org.dotterelcourse.daemon.http.exchange.ResponseFaultListener;
import org.dotterelcourse.daemon.http.exchange.ResponseMatcher;
import org.dotterelcourse.gateway.GatewayLoop;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.condition.EnabledOnOs;
import org.junit.jupiter.api.condition.OS;
import reactor.core.publisher.Mono;

import static org.assertj.core.api.Assertions.assertThat;

/** The kernel ends no connection to a worker by timers of its own: neither TCP_USER_TIMEOUT nor keep-alive is set. */
final class WorkerConnectionTimersTest {
    private static final Duration TIMEOUT = Duration.ofSeconds(5);
    private static final String ESTABLISHED = "01";
    private static final int STATE_COLUMN = 3;
    private static final int TIMER_COLUMN = 5;
    private static final int REMOTE_COLUMN = 2;

    private final GatewayLoop loop = new GatewayLoop();

    @AfterEach
    void stopLoop() {
        loop.stop();
    }

    // Guards against a library that sets TCP_USER_TIMEOUT or keep-alive by itself: a silent worker would be given up.
    @Test
    @EnabledOnOs(OS.LINUX)
    void anIdleConnectionHasNoTimer() throws Exception {
        try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            CompletableFuture<Void> worker = CompletableFuture.runAsync(() -> serve(server));
            WorkerClient client = new WorkerClient(
                    loop,
                    UnaryOperator.identity(),
                    ResponseMatcher.ANY,
                    ResponseFaultListener.NONE,
                    ResponseMemory.ofHeap(System::nanoTime, new MetricRegistry()));
            client.send(
                            new InetSocketAddress(InetAddress.getLoopbackAddress(), server.getLocalPort()),
                            HttpMethod.GET,
                            "/",
                            new DefaultHttpHeaders().add("Host", "w"),
                            new byte[0],
                            WorkerClient.ConnectListener.NONE)
                    .flatMap(response -> response.body().then(Mono.just(response.status())))
                    .block(TIMEOUT);
            String remote = String.format(Locale.ROOT, ":%04X", server.getLocalPort());
            List<String[]> connections = Stream.of("tcp", "tcp6")
                    .flatMap(WorkerConnectionTimersTest::connections)
                    .filter(columns -> columns[REMOTE_COLUMN].endsWith(remote))
                    .filter(columns -> columns[STATE_COLUMN].equals(ESTABLISHED))
                    .toList();
            assertThat(connections)
                    .as("the kept connection")
                    .hasSize(1)
                    .allMatch(columns -> columns[TIMER_COLUMN].startsWith("00:"));
            worker.cancel(true);
        }
    }

    // The sockets of the JDK have no option for TCP_USER_TIMEOUT, those of native transports have.
    @Test
    void connectionsUseTheSocketsOfTheJdk() {
        System.setProperty("reactor.netty.native", "false");
        assertThat(new NioSocketChannel().config().getOptions().keySet())
                .noneMatch(option -> option.name().contains("USER_TIMEOUT"));
    }

    /** Returns the columns of the kernel's table of connections. */
    private static Stream<String[]> connections(String protocol) {
        try {
            return Files.readAllLines(Path.of("/proc/self/net", protocol)).stream()
                    .map(line -> line.trim().split("\\s+"));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static void serve(ServerSocket server) {
        try (Socket socket = server.accept()) {
            socket.getInputStream().read(new byte[1_024]);
            socket.getOutputStream()
                    .write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok".getBytes(StandardCharsets.US_ASCII));
            socket.getInputStream().read();
        } catch (IOException e) {
            // The test has ended.
        }
    }
}
