package org.dotterelcourse.gateway.forward;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.UnaryOperator;

import com.codahale.metrics.MetricRegistry;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import org.dotterelcourse.daemon.http.exchange.ResponseFaultListener;
import org.dotterelcourse.daemon.http.exchange.ResponseMatcher;
import org.dotterelcourse.gateway.GatewayLoop;
import org.dotterelcourse.gateway.routing.RequestKind;
import org.dotterelcourse.gateway.routing.Route;
import org.dotterelcourse.gateway.routing.UpstreamSpec;
import org.dotterelcourse.policy.cold.ColdStart;
import org.dotterelcourse.policy.selection.TransferCost;
import org.dotterelcourse.standins.RawAnswerServer;
import org.dotterelcourse.standins.RawAnswerServer.Answer;
import org.dotterelcourse.standins.RawAnswerServer.End;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests that an answer whose connection ends at any byte of its head is taken for no answer, at a worker and at a peer. */
class AnswersCutInTheirHeadTest {
    private static final int CONCURRENT = 16;
    private static final int OK = 200;
    private static final Duration TIMEOUT = Duration.ofSeconds(60);
    /** Time after an answer in which its connection usually is back in the pool. */
    private static final Duration RETURNED = Duration.ofMillis(3);

    /** The first answer of a connection whose second one is cut. */
    private static final String WARM = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n" + RelayHeaders.OUTCOME
            + ": unknown\r\n" + RelayHeaders.REASON + ": first\r\n\r\nfirst";

    private static final List<String> WARM_RESULTS =
            List.of("200 with 5 bytes", new RelayResult.Unknown("first").toString());
    private static final String COMMON = "X-Request-Id: id-1\r\nX-Stamp: stamp.1\r\n";

    private final GatewayLoop loop = new GatewayLoop();

    @AfterEach
    void stop() {
        loop.stop();
    }

    /** How an answer is sent and ends, and whether it is the first one of its connection. */
    private record Way(int pieceBytes, End end, boolean isFirst) {
        private static final int AT_ONCE = 1 << 16;

        static List<Way> all() {
            List<Way> ways = new ArrayList<>();
            for (End end : End.values()) {
                for (int pieceBytes : new int[] {AT_ONCE, 7}) {
                    ways.add(new Way(pieceBytes, end, true));
                    ways.add(new Way(pieceBytes, end, false));
                }
            }
            return ways;
        }
    }

    // Guards against a worker that ends in the head of its answer, which clients get as a whole one without a body.
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "HTTP/1.1 200 OK       | Content-Length: 5",
                "HTTP/1.1 200 OK       | Content-Length: 0",
                "HTTP/1.1 200 OK       | Transfer-Encoding: chunked",
                "HTTP/1.1 200 OK       | Connection: close",
                "HTTP/1.1 204 No Content | Connection: keep-alive",
                "HTTP/1.0 200 OK       | Content-Length: 5",
                "HTTP/1.0 200 OK       | Server: old"
            })
    void aWorkersAnswerThatIsCutInItsHeadIsAnError(String statusLine, String framing) {
        assertThatNoPrefixIsAnAnswer(statusLine + "\r\n" + COMMON + framing + "\r\n\r\n", "");
    }

    // Guards against an interim response that is taken for the answer when nothing follows it.
    @ParameterizedTest
    @CsvSource({"100 Continue", "102 Processing", "103 Early Hints"})
    void anAnswerThatIsCutAfterAnInterimResponseIsNotASuccess(String interim) {
        String before = "HTTP/1.1 " + interim + "\r\nLink: </a>\r\n\r\n";
        assertThatNoPrefixIsAnAnswer("HTTP/1.1 200 OK\r\n" + COMMON + "Content-Length: 5\r\n\r\n", before);
    }

    // Guards against a peer that ends in the head of its answer to a relayed request.
    @ParameterizedTest
    @CsvSource({"Content-Length: 5", "Transfer-Encoding: chunked", "Connection: close"})
    void aPeersAnswerThatIsCutInItsHeadIsAnError(String framing) {
        String head = "HTTP/1.1 200 OK\r\n" + RelayHeaders.OUTCOME + ": " + RelayHeaders.RESPONDED + "\r\n"
                + RelayHeaders.SENDS + ": 1\r\n" + RelayHeaders.VERSION + ": v1\r\n" + COMMON + framing + "\r\n\r\n";
        for (Way way : Way.all()) {
            RelayClient client = new RelayClient(
                    loop, ResponseMemory.ofHeap(System::nanoTime, new MetricRegistry()), new MetricRegistry());
            List<String> answers = answers(head, "", way, (server, cut) -> {
                Mono<RelayResult> result =
                        client.send(call(cut), new RelayTarget("cut-" + cut, server.address()), List.of());
                return result.map(RelayResult::toString);
            });
            assertThat(answers).as(way.toString()).hasSize(head.length()).containsOnly("error");
        }
    }

    private void assertThatNoPrefixIsAnAnswer(String head, String before) {
        for (Way way : Way.all()) {
            WorkerClient client = new WorkerClient(
                    loop,
                    UnaryOperator.identity(),
                    ResponseMatcher.ANY,
                    ResponseFaultListener.NONE,
                    ResponseMemory.ofHeap(System::nanoTime, new MetricRegistry()));
            List<String> answers = answers(head, before, way, (server, cut) -> send(client, server, cut));
            assertThat(answers)
                    .as(way.toString())
                    .hasSize(before.length() + head.length())
                    .allMatch(answer -> answer.equals("error") || !before.isEmpty() && answer.startsWith("1"));
        }
    }

    /** Sends a request. */
    private interface Sending {
        Mono<String> send(RawAnswerServer server, int cut);
    }

    /** Returns what is received of an answer that is cut at each of its bytes: "error", or status and body. */
    private List<String> answers(String head, String before, Way way, Sending sending) {
        String answer = before + head;
        try (RawAnswerServer server = new RawAnswerServer(request -> {
            int cut = Integer.parseInt(request.head().split("cut-")[1].split("\\D")[0]);
            return way.isFirst() || request.number() > 1
                    ? new Answer(answer.substring(0, cut), way.pieceBytes(), Optional.of(way.end()))
                    : new Answer(warm(request), Way.AT_ONCE, Optional.empty());
        })) {
            return Flux.range(0, answer.length())
                    .flatMap(
                            cut -> Mono.defer(() -> way.isFirst()
                                            ? sending.send(server, cut)
                                            : sendOnUsedConnection(sending, server, cut))
                                    .onErrorReturn("error")
                                    .defaultIfEmpty("nothing"),
                            way.isFirst() ? CONCURRENT : 1)
                    .collectList()
                    .block(TIMEOUT);
        }
    }

    /** Returns the first answer of a connection, which identifies a relayed request. */
    private static String warm(RawAnswerServer.Request request) {
        String id = request.header(RelayHeaders.ID);
        return id.isEmpty() ? WARM : WARM.replaceFirst("\r\n", "\r\n" + RelayHeaders.ID + ": " + id + "\r\n");
    }

    /** Sends requests until one gets the second answer of its connection. */
    private static Mono<String> sendOnUsedConnection(Sending sending, RawAnswerServer server, int cut) {
        return sending.send(server, cut)
                .flatMap(result -> WARM_RESULTS.contains(result)
                        ? Mono.delay(RETURNED).then(Mono.defer(() -> sendOnUsedConnection(sending, server, cut)))
                        : Mono.just(result));
    }

    private static Mono<String> send(WorkerClient client, RawAnswerServer server, int cut) {
        return client.send(
                        server.address(),
                        HttpMethod.POST,
                        "/cut-" + cut,
                        new DefaultHttpHeaders().set("Host", "a.example").set("Content-Length", 0),
                        new byte[0],
                        WorkerClient.ConnectListener.NONE)
                .flatMap(response -> BufferedResponse.collect(response, new ResponseHolds())
                        .map(whole -> whole.status() + " with " + whole.body().length + " bytes"));
    }

    private static Call call(int cut) {
        Route route = new Route(
                "post",
                "a.example",
                "/",
                RequestKind.NON_IDEMPOTENT,
                5_000,
                100,
                0,
                0,
                List.of(new Route.UpstreamShare("plain", 1)),
                1,
                false,
                false);
        UpstreamSpec upstream = new UpstreamSpec("plain", false, 1, TransferCost.unsupported(), ColdStart.none());
        Call.Attributes attributes = new Call.Attributes(
                "id-1",
                route,
                upstream,
                "bank",
                0,
                Optional.empty(),
                System.nanoTime(),
                System.nanoTime() + TIMEOUT.toNanos(),
                Optional.empty());
        return new Call(attributes, HttpMethod.POST, "/cut-" + cut, new DefaultHttpHeaders(), new byte[0]);
    }
}
