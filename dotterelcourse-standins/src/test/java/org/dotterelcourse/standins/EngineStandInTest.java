package org.dotterelcourse.standins;

import java.io.UncheckedIOException;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.function.BooleanSupplier;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

final class EngineStandInTest {
    private static final String CHAT = "/v1/chat/completions";
    private static final String ID = "X-Request-Id";
    private static final Duration FAST = Duration.ofNanos(100_000);

    private EngineStandIn engine;

    @AfterEach
    void close() {
        if (engine != null) {
            engine.close();
        }
    }

    @Test
    void aStreamHoldsTheExpectedAnswer() {
        engine = fast().build().start();
        String events = Call.post(
                        engine.address(),
                        CHAT,
                        Call.chat("hello [[tokens=70]]", 0).toString(),
                        ID,
                        "a")
                .body();
        assertThat(Call.streamed(events)).isEqualTo(ExpectedAnswer.whole("hello [[tokens=70]]\n", 0));
        assertThat(engine.stats().get("a")).isEqualTo(new RequestCount(1, 1, 70, 0));
    }

    @Test
    void anAnswerIsCutByMaxTokensAndSaysSo() {
        engine = fast().build().start();
        ObjectNode body = Call.chat("hello [[tokens=70]]", 5).put("stream", false);
        var answer =
                Json.parse(Call.post(engine.address(), CHAT, body.toString()).body());
        assertThat(answer.at("/choices/0/message/content").asText())
                .isEqualTo(ExpectedAnswer.text("hello [[tokens=70]]\n", 5));
        assertThat(answer.at("/choices/0/finish_reason").asText()).isEqualTo("length");
        assertThat(answer.at("/usage/completion_tokens").asInt()).isEqualTo(5);
    }

    @Test
    void aResumedAnswerGoesOnWithTheSameBytes() {
        engine = fast().build().start();
        String prompt = "again [[tokens=40]]";
        ObjectNode body = Call.chat(prompt, 0);
        String before = ExpectedAnswer.text(prompt + "\n", 15);
        body.putObject("resume").put("text", before).put("tokens", 15);
        String rest = Call.streamed(
                Call.post(engine.address(), CHAT, body.toString(), ID, "r").body());
        assertThat(before + rest).isEqualTo(ExpectedAnswer.whole(prompt + "\n", 0));
        assertThat(engine.stats().get("r").generated()).isEqualTo(25);
        body.putObject("resume").put("text", "other").put("tokens", 15);
        assertThat(Call.post(engine.address(), CHAT, body.toString()).statusCode())
                .isEqualTo(400);
    }

    @Test
    void aFullEngineRefusesWithoutStarting() {
        engine = EngineStandIn.builder().limits(1, 1).build().start();
        engine.fault(Fault.of(Fault.Kind.STALL));
        List<CompletableFuture<HttpResponse<String>>> held = new ArrayList<>();
        for (int i = 0; i < 2; i++) {
            held.add(
                    Call.postAsync(engine.address(), CHAT, Call.chat("p" + i, 4).toString()));
        }
        await(() -> engine.running() + engine.waiting() == 2);
        var refused = Call.post(engine.address(), CHAT, Call.chat("third", 4).toString(), ID, "third");
        assertThat(refused.statusCode()).isEqualTo(429);
        assertThat(engine.stats()).doesNotContainKey("third");
        engine.fault(Fault.of(Fault.Kind.RECOVER));
        for (int i = 0; i < 2; i++) {
            assertThat(Call.streamed(held.get(i).join().body())).isEqualTo(ExpectedAnswer.text("p" + i + "\n", 4));
        }
    }

    @Test
    void anOrderWithAnOldFencingNumberIsRefusedOnlyWhereItIsChecked() {
        for (boolean checked : new boolean[] {true, false}) {
            try (EngineStandIn each =
                    fast().fencing(checked).model("m", "1").build().start()) {
                String order = "{\"fence\":%d,\"action\":\"unload\",\"model\":\"m\",\"version\":\"%d\"}";
                assertThat(Call.post(each.address(), "/v1/orders", order.formatted(7, 2))
                                .statusCode())
                        .isEqualTo(200);
                var old = Call.post(each.address(), "/v1/orders", order.formatted(6, 1));
                assertThat(old.statusCode()).isEqualTo(checked ? 409 : 200);
                assertThat(Json.parse(old.body()).path("fence").asLong()).isEqualTo(7);
                assertThat(each.orders().models()).hasSize(checked ? 1 : 0);
            }
        }
    }

    // An engine's process dies in the middle of an answer. Its callers see a reset connection, and new ones are
    // refused.
    @Test
    void aCrashResetsStreamsAndRefusesConnectionsUntilRecovery() {
        engine = EngineStandIn.builder().build().start();
        var stream = Call.postAsync(
                engine.address(), CHAT, Call.chat("x [[tokens=5000]]", 0).toString(), ID, "lost");
        await(() ->
                engine.stats().containsKey("lost") && engine.stats().get("lost").generated() > 3);
        engine.fault(Fault.of(Fault.Kind.CRASH));
        assertThatThrownBy(stream::join).isInstanceOf(CompletionException.class);
        assertThatThrownBy(() -> Call.get(engine.address(), "/v1/load")).isInstanceOf(UncheckedIOException.class);
        assertThat(engine.stats().get("lost").wasted()).isPositive();
        engine.fault(Fault.of(Fault.Kind.RECOVER));
        String events =
                Call.post(engine.address(), CHAT, Call.chat("y", 3).toString()).body();
        assertThat(Call.streamed(events)).isEqualTo(ExpectedAnswer.text("y\n", 3));
    }

    @Test
    void aCancelledConnectionStopsTheWorkAndCountsItAsWasted() {
        engine = EngineStandIn.builder().build().start();
        var stream = Call.postAsync(
                engine.address(), CHAT, Call.chat("x [[tokens=5000]]", 0).toString(), ID, "gone");
        await(() ->
                engine.stats().containsKey("gone") && engine.stats().get("gone").generated() > 3);
        stream.cancel(true);
        await(() -> engine.running() == 0);
        RequestCount count = engine.stats().get("gone");
        assertThat(count.wasted()).isEqualTo(count.generated());
    }

    @Test
    void aLoadReportShowsAnOlderState() {
        engine = EngineStandIn.builder().reportLag(Duration.ofHours(1)).build().start();
        Call.postAsync(engine.address(), CHAT, Call.chat("x [[tokens=5000]]", 0).toString());
        await(() -> engine.running() == 1);
        var report = Json.parse(Call.get(engine.address(), "/v1/load").body());
        assertThat(report.path("running").asInt()).isZero();
        assertThat(report.path("batchLimit").asInt()).isEqualTo(16);
    }

    static EngineBuilder fast() {
        return EngineStandIn.builder().times(FAST, FAST, Duration.ofNanos(1_000));
    }

    static void await(BooleanSupplier condition) {
        long limit = System.nanoTime() + Duration.ofSeconds(20).toNanos();
        while (!condition.getAsBoolean()) {
            assertThat(System.nanoTime() - limit).as("time over").isNegative();
            Thread.onSpinWait();
        }
    }
}
