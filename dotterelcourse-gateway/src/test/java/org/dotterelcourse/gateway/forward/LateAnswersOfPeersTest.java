package org.dotterelcourse.gateway.forward;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.BiFunction;

import com.codahale.metrics.MetricRegistry;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import org.dotterelcourse.gateway.GatewayLoop;
import org.dotterelcourse.gateway.routing.RequestKind;
import org.dotterelcourse.gateway.routing.Route;
import org.dotterelcourse.gateway.routing.UpstreamSpec;
import org.dotterelcourse.policy.cold.ColdStart;
import org.dotterelcourse.policy.selection.TransferCost;
import org.dotterelcourse.standins.RawAnswerServer;
import org.dotterelcourse.standins.RawAnswerServer.Answer;
import org.dotterelcourse.standins.RawAnswerServer.Request;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests that what a peer sends on a kept connection is taken only for the answer to the relayed request that it identifies. */
class LateAnswersOfPeersTest {
    private static final Duration TIMEOUT = Duration.ofSeconds(10);

    /** Time after an answer in which its connection usually is back in the pool. */
    private static final Duration RETURNED = Duration.ofMillis(10);

    /** Relayed requests after which one should have used a kept connection. */
    private static final int MAX_CALLS = 100;

    private static final String ID = "Relay-Id";
    private static final String OWN = "Unknown[reason=own]";

    private final GatewayLoop loop = new GatewayLoop();
    private final List<Request> requests = new CopyOnWriteArrayList<>();
    private String lastResult = "";

    @AfterEach
    void stop() {
        loop.stop();
    }

    // Guards against a late "not executed", success or failure of a peer that is believed for the next relayed request.
    @ParameterizedTest
    @ValueSource(strings = {"503 not-executed", "200 responded", "500 responded", "502 unknown"})
    void aLateAnswerOfAPeerIsNotTakenForTheNextOne(String late) {
        List<Request> firsts = new ArrayList<>();
        Call second = relay((request, number) -> {
            if (number == 1) {
                firsts.add(0, request);
                return answer(id(request), "200", "unknown", "first");
            }
            return answer(id(firsts.get(0)), late.substring(0, 3), late.substring(4), "late")
                    + answer(id(request), "200", "unknown", "own");
        });
        assertThat(second.lastWorkerId()).isEqualTo("worker-of-own");
        assertThat(second.triedWorkers()).containsExactly("worker-of-own");
        assertThat(second.lastWorkerVersion()).isEqualTo("version-of-own");
    }

    // Guards against the beginning of a late answer that is read as one head with the answer to the next request.
    @Test
    void theBeginningOfALateAnswerOfAPeerIsNotJoinedWithTheNextOne() {
        String late = answer("earlier", "503", "not-executed", "late");
        for (int cut = 1; cut < late.length(); cut++) {
            String beginning = late.substring(0, cut);
            String result = resultOfSecond((request, number) -> number == 1
                    ? answer(id(request), "200", "unknown", "first")
                    : beginning + answer(id(request), "200", "unknown", "own"));
            assertThat(result).as("cut at " + cut).isIn(OWN, "error");
        }
    }

    // Guards against two relayed requests of one client's request that a peer's answers can't be told apart by.
    @Test
    void eachRelayedRequestHasAnIdOfItsOwn() {
        relay(2, (request, number) -> answer(id(request), "200", "unknown", "own"));
        assertThat(requests).hasSize(2);
        assertThat(requests.stream().map(LateAnswersOfPeersTest::id).distinct())
                .hasSize(2)
                .doesNotContain("");
    }

    // Guards against a late answer of a peer of an earlier release, which has no id.
    @Test
    void anAnswerWithoutAnIdIsAcceptedOnlyAsTheFirstOnItsConnection() {
        relay(2, (request, number) -> answer("", "200", "unknown", number == 1 ? "own" : "late"));
        assertThat(lastResult).isEqualTo(OWN);
        assertThat(requests).hasSize(2).allMatch(request -> request.number() == 1);
    }

    @Test
    void anAnswerWithSeveralIdsIsNotAccepted() {
        String result = resultOfSecond((request, number) -> {
            String answer = answer(id(request), "200", "unknown", "own");
            return number == 1 ? answer : answer.replace("\r\n\r\n", "\r\n" + ID + ": another\r\n\r\n");
        });
        assertThat(result).isEqualTo("error");
    }

    // Guards against an invalid status or framing of a peer that is passed on, or whose "not executed" is believed.
    @ParameterizedTest
    @ValueSource(strings = {"000 responded", "600 responded", "000 not-executed", "999 unknown"})
    void anAnswerOfAPeerWithAnInvalidStatusIsNotBelieved(String answer) {
        Call call = relay(
                2, (request, number) -> answer(id(request), answer.substring(0, 3), answer.substring(4), "invalid"));
        assertThat(lastResult).isEqualTo("error");
        assertThat(call.triedWorkers()).isEmpty();
        relay(
                2,
                (request, number) -> answer(id(request), "200", "responded", "own")
                        .replace("Content-Length: 0", "Transfer-Encoding: any"));
        assertThat(lastResult).isEqualTo("error");
    }

    /** Relays requests to a peer until one uses a kept connection, and returns its call. */
    private Call relay(BiFunction<Request, Integer, String> peer) {
        return relay(MAX_CALLS, peer);
    }

    /** Relays requests to a peer, at least two, one after the other, and returns the call of the last one. */
    private Call relay(int maxCalls, BiFunction<Request, Integer, String> peer) {
        try (RawAnswerServer server = new RawAnswerServer(request -> {
            requests.add(request);
            return new Answer(peer.apply(request, request.number()), 1 << 16, Optional.empty());
        })) {
            RelayClient client = new RelayClient(
                    loop, ResponseMemory.ofHeap(System::nanoTime, new MetricRegistry()), new MetricRegistry());
            Call call = null;
            for (int i = 0;
                    i < 2 || i < maxCalls && requests.get(requests.size() - 1).number() == 1;
                    i++) {
                call = call();
                lastResult = client.send(call, new RelayTarget("peer", server.address()), List.of())
                        .map(RelayResult::toString)
                        .onErrorReturn("error")
                        .delayElement(RETURNED)
                        .block(TIMEOUT);
            }
            return call;
        }
    }

    private String resultOfSecond(BiFunction<Request, Integer, String> peer) {
        relay(peer);
        return lastResult;
    }

    private static String id(Request request) {
        return request.header(ID);
    }

    /** Returns a peer's answer, which names a worker and its version by its reason; without an id if that is empty. */
    private static String answer(String id, String status, String outcome, String reason) {
        return "HTTP/1.1 " + status + " Any\r\nDate: Sat, 05 Dec 2026 11:35:50 GMT\r\nRelay-Outcome: " + outcome
                + "\r\nRelay-Reason: " + reason + "\r\nRelay-Worker: worker-of-" + reason
                + "\r\nRelay-Version: version-of-" + reason + "\r\nRelay-Sends: 1\r\n"
                + (id.isEmpty() ? "" : ID + ": " + id + "\r\n") + "Content-Length: 0\r\n\r\n";
    }

    private static Call call() {
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
        return new Call(attributes, HttpMethod.POST, "/post", new DefaultHttpHeaders(), new byte[0]);
    }
}
