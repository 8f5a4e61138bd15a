package org.dotterelcourse.standins;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

import com.fasterxml.jackson.databind.JsonNode;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.reactivestreams.Publisher;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

final class LoadGeneratorTest {
    /** What the daemon that the load meets does with a chat completion. */
    private enum Edge {
        RIGHT,
        OTHER_ANSWER,
        CUT_SHORT,
        SAYS_NOT_RUN
    }

    private final EngineStandIn counter = EngineStandInTest.fast().build().start();
    private Edge edge = Edge.RIGHT;
    private final StandInServer daemon = new StandInServer(0, this::handle);

    @AfterEach
    void close() {
        daemon.close();
        counter.close();
    }

    @Test
    void aRightAnswerIsCountedWithItsTokens() throws InterruptedException {
        LoadResult result = run(Edge.RIGHT);
        ClassResult chat = result.of("chat");
        assertThat(result.clean()).as(result.table()).isTrue();
        assertThat(chat.sent()).isPositive().isEqualTo(chat.answered());
        assertThat(chat.tokens()).isEqualTo(4 * chat.sent());
        assertThat(result.of("pay").answered()).isEqualTo(result.of("pay").sent());
        assertThat(Json.parse(result.json()).path("classes")).hasSize(2);
        assertThat(result.table().lines()).hasSize(4);
    }

    // Two answers are mixed up on their way; the caller gets a whole answer, only not its own.
    @Test
    void anotherCallersAnswerIsCountedAsWrong() throws InterruptedException {
        ClassResult chat = run(Edge.OTHER_ANSWER).of("chat");
        assertThat(chat.wrong()).isPositive().isEqualTo(chat.sent());
    }

    // A stream ends in good order before its last tokens; the caller takes it for whole.
    @Test
    void anAnswerThatEndsEarlyIsCountedAsTruncated() throws InterruptedException {
        ClassResult chat = run(Edge.CUT_SHORT).of("chat");
        assertThat(chat.truncated()).isPositive().isEqualTo(chat.sent());
    }

    // The caller is told that its request was not run, but an upstream worked on it.
    @Test
    void aRefusalOfWhatRanIsNoticed() throws InterruptedException {
        LoadResult result = run(Edge.SAYS_NOT_RUN);
        assertThat(result.of("chat").notRunButRan())
                .isPositive()
                .isEqualTo(result.of("chat").sent());
        assertThat(result.clean()).isFalse();
    }

    @Test
    void theSameSeedGivesTheSameArrivalsAndABurstGivesMore() {
        LoadSpec calm = LoadSpec.parse(spec("127.0.0.1:9", ""));
        LoadSpec burst =
                LoadSpec.parse(spec("127.0.0.1:9", ",\"bursts\":[{\"class\":\"chat\",\"seconds\":0.3,\"factor\":20}]"));
        assertThat(Arrivals.of(calm)).isEqualTo(Arrivals.of(calm));
        assertThat(Arrivals.of(burst).size())
                .isGreaterThan(3 * Arrivals.of(calm).size());
    }

    @Test
    void onlyLoopbackIsLoaded() {
        assertThatThrownBy(() -> LoadSpec.parse(spec("192.0.2.1:80", "")))
                .isInstanceOf(IllegalArgumentException.class)
                .hasMessageContaining("192.0.2.1:80");
    }

    private LoadResult run(Edge way) throws InterruptedException {
        edge = way;
        daemon.listen();
        return new LoadGenerator(LoadSpec.parse(spec(daemon.address(), ""))).run();
    }

    private String spec(String address, String more) {
        return "{\"daemons\":[\"" + address + "\"],\"counters\":[\"" + counter.address() + "\"],"
                + "\"ratePerSecond\":100,\"seconds\":0.3,\"classes\":["
                + "{\"name\":\"chat\",\"keys\":[\"k\"],\"leastTokens\":4,\"mostTokens\":4,\"targetMillis\":10000},"
                + "{\"name\":\"pay\",\"keys\":[\"k\"],\"service\":\"api\",\"path\":\"pay\",\"idempotent\":false}]"
                + more + "}";
    }

    private Publisher<Void> handle(HttpServerRequest request, HttpServerResponse response) {
        if (request.path().equals("v1/addresses")) {
            var address = Map.of("address", daemon.address(), "dataCentre", "d", "weight", 1);
            return Replies.json(response, 200, Map.of("timeToLiveSeconds", 20, "addresses", List.of(address)));
        }
        return Replies.withBody(request, body -> {
            if (request.path().startsWith("v1/services/api/")) {
                return Replies.text(response, 200, ExpectedAnswer.service("/pay", body));
            }
            String id = Replies.requestId(request);
            if (edge == Edge.SAYS_NOT_RUN) {
                return Mono.fromFuture(Call.postAsync(
                                counter.address(),
                                "/v1/chat/completions",
                                new String(body, StandardCharsets.UTF_8),
                                "X-Request-Id",
                                id))
                        .then(Mono.defer(() ->
                                Mono.from(Replies.problem(response.header("X-Outcome", "not-run"), 429, "full"))));
            }
            return response.sse().sendString(Flux.fromIterable(events(Json.parse(body))));
        });
    }

    private List<String> events(JsonNode body) {
        String prompt = ExpectedAnswer.prompt(body.path("messages"));
        int tokens = body.path("max_tokens").asInt();
        String text = ExpectedAnswer.text(edge == Edge.OTHER_ANSWER ? "other\n" : prompt, tokens);
        List<String> events = new ArrayList<>();
        events.add(": keep-alive\n\n");
        events.add(event(text.substring(0, 3), null));
        if (edge != Edge.CUT_SHORT) {
            events.add(event(text.substring(3), "stop"));
            events.add("data: [DONE]\n\n");
        }
        return events;
    }

    private static String event(String content, String reason) {
        var chunk = Json.object();
        var choice = chunk.putArray("choices").addObject().put("finish_reason", reason);
        choice.putObject("delta").put("content", content);
        return "data: " + Json.text(chunk) + "\n\n";
    }
}
