package org.dotterelcourse.daemon;

import java.io.InputStream;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.dotterelcourse.standins.ConfigurationServiceStandIn;
import org.dotterelcourse.standins.ExpectedAnswer;
import org.dotterelcourse.standins.Fault;
import org.dotterelcourse.standins.RequestCount;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class DaemonTest {
    private final FleetFixture fleet = new FleetFixture(2);
    private final ObjectMapper json = new ObjectMapper();

    @AfterEach
    void close() {
        fleet.close();
    }

    @Test
    void answersWholeAndInPiecesWithTheSameText() throws Exception {
        String prompt = "When is the coupon due? [[tokens=20]]";
        String expected = ExpectedAnswer.whole(ExpectedAnswer.promptOf(prompt), 400);

        HttpResponse<String> whole = fleet.send(fleet.chat(0, "question", prompt, false));
        HttpResponse<String> stream = fleet.send(fleet.chat(1, "question", prompt, true));

        JsonNode answer = json.readTree(whole.body());
        assertThat(whole.statusCode()).isEqualTo(200);
        assertThat(whole.headers().firstValue("X-Outcome")).contains("answered");
        assertThat(answer.at("/choices/0/message/content").asText()).isEqualTo(expected);
        assertThat(answer.at("/usage/completion_tokens").asInt()).isEqualTo(20);
        assertThat(textOf(stream.body())).isEqualTo(expected);
        assertThat(stream.body()).endsWith("data: [DONE]\n\n");
    }

    @Test
    void tellsWhatIsWrongWithARequestAndThatItWasNotRun() {
        String good = "{\"messages\":[{\"role\":\"user\",\"content\":\"x\"}]}";
        assertProblem(fleet.chat(0, "nonsense", "x", false), 404, "\"known\":[");
        assertProblem(fleet.chat(0, "check", "x", false), 404, "served by a plain service");
        assertProblem(
                fleet.chat(0, "question", "x", false).setHeader("Authorization", "Bearer no"), 401, "no customer");
        assertProblem(body("not json"), 400, "not JSON");
        assertProblem(body("{\"messages\":[]}"), 400, "messages");
        assertProblem(body(good.replace("]}", "],\"max_tokens\":-1}")), 400, "max_tokens");
        assertProblem(body(good.replace("]}", "],\"model\":\"other\"}")), 404, "\"known\":[\"bond\"]");
        assertProblem(body("x".repeat(3000)), 413, "too large");
        assertProblem(fleet.call(0, "/v1/services/none/x").GET(), 404, "\"known\":[\"counter\"]");
        assertProblem(fleet.call(0, "/nowhere").GET(), 404, "nothing at");
    }

    @Test
    void goesOnAtAnotherEngineWhenOneCrashesInTheMiddleOfAnAnswer() throws Exception {
        // An engine's VM is lost while it streams. The caller sees a pause, and then the rest of the same answer: not a
        // cut stream, not an answer that begins again, and no token computed twice.
        String prompt = "Summarise the amendments. [[tokens=300]]";
        HttpResponse<InputStream> stream = fleet.open(fleet.chat(0, "question", prompt, true));
        FleetFixture.await(() -> fleet.engines[0].running() + fleet.engines[1].running() == 1);
        int busy = fleet.engines[0].running() == 1 ? 0 : 1;
        byte[] start = stream.body().readNBytes(400);

        fleet.engines[busy].fault(Fault.of(Fault.Kind.CRASH));

        String all = new String(start, java.nio.charset.StandardCharsets.UTF_8) + FleetFixture.text(stream.body());
        assertThat(textOf(all)).isEqualTo(ExpectedAnswer.whole(ExpectedAnswer.promptOf(prompt), 400));
        assertThat(all).endsWith("data: [DONE]\n\n");
        RequestCount resumed =
                fleet.engines[1 - busy].stats().values().iterator().next();
        assertThat(resumed.generated()).isLessThan(300);
    }

    @Test
    void marksTheEndOfAnAnswerThatMayNotRunAgain() throws Exception {
        // A signed draft must not be made twice, so its answer can't go on elsewhere when the engine is lost. The
        // caller
        // is told so by an error event; a stream that just ended would be taken for a whole draft.
        HttpResponse<InputStream> stream = fleet.open(fleet.chat(0, "signed", "Draft. [[tokens=300]]", true));
        byte[] start = stream.body().readNBytes(400);

        fleet.engines[0].fault(Fault.of(Fault.Kind.CRASH));
        fleet.engines[1].fault(Fault.of(Fault.Kind.CRASH));

        String rest = FleetFixture.text(stream.body());
        assertThat(start).hasSize(400);
        assertThat(rest)
                .contains("event: error")
                .contains("\"outcome\":\"unknown\"")
                .doesNotContain("[DONE]");
    }

    @Test
    void runsAPayoutOnceAndTellsUnknownWhenTheAnswerIsLost() {
        // The service's VM is lost after it was sent a payout. Nobody can tell whether it ran; sending it to the other
        // one would pay twice.
        fleet.services[0].fault(Fault.slow(10_000));
        fleet.services[1].fault(Fault.slow(10_000));
        Thread cut = new Thread(() -> {
            FleetFixture.await(() -> fleet.runs("p-1") == 1);
            fleet.services[0].fault(Fault.of(Fault.Kind.CRASH));
            fleet.services[1].fault(Fault.of(Fault.Kind.CRASH));
        });
        cut.start();

        HttpResponse<String> lost = fleet.send(fleet.service(0, "payout", "p-1"));

        assertThat(lost.body()).contains("\"outcome\":\"unknown\"");
        assertThat(fleet.runs("p-1")).isEqualTo(1);
    }

    @Test
    void sendsAPayoutElsewhereWhenItCertainlyHasNotRun() {
        // One service's VM is gone and refuses connections: not a byte was written, so the other one may run the
        // payout.
        fleet.services[0].fault(Fault.of(Fault.Kind.CRASH));

        for (int i = 0; i < 6; i++) {
            assertThat(fleet.send(fleet.service(0, "payout", "q-" + i)).statusCode())
                    .isEqualTo(200);
            assertThat(fleet.runs("q-" + i)).isEqualTo(1);
        }
    }

    @Test
    void runsATicketedPayoutOnceWhicheverDaemonItIsRepeatedAt() {
        // A teller's program gets no answer, asks for other addresses and sends the payout again to another daemon.
        String ticket = ticket();

        HttpResponse<String> first =
                fleet.send(fleet.service(1, "payout", "t-1").header("X-Ticket", ticket));
        HttpResponse<String> again =
                fleet.send(fleet.service(0, "payout", "t-1").header("X-Ticket", ticket));

        assertThat(first.statusCode()).isEqualTo(200);
        assertThat(again.statusCode()).isEqualTo(409);
        assertThat(fleet.runs("t-1")).isEqualTo(1);
    }

    @Test
    void neverRunsACallWhoseTicketWasBurned() {
        String ticket = ticket();

        HttpResponse<String> burned =
                fleet.send(fleet.call(1, "/v1/tickets/" + ticket).DELETE());
        HttpResponse<String> late = fleet.send(fleet.service(0, "payout", "b-1").header("X-Ticket", ticket));

        assertThat(burned.body()).contains("\"outcome\":\"not-run\"");
        assertThat(late.body()).contains("\"outcome\":\"not-run\"");
        assertThat(fleet.runs("b-1")).isZero();
    }

    @Test
    void cancelsTheWorkOfACallerThatGoesAway() throws Exception {
        // A bond holder closes the page. What the engine would go on generating is wasted work.
        HttpResponse<InputStream> stream = fleet.open(fleet.chat(0, "question", "Long. [[tokens=400]]", true));
        stream.body().readNBytes(200);
        stream.body().close();

        FleetFixture.await(() -> fleet.engines[0].running() + fleet.engines[1].running() == 0);
        assertThat(fleet.engines[0].stats().values().stream()
                                .mapToLong(RequestCount::generated)
                                .sum()
                        + fleet.engines[1].stats().values().stream()
                                .mapToLong(RequestCount::generated)
                                .sum())
                .isLessThan(400);
    }

    @Test
    void drainsWithoutCuttingOffAStream() throws Exception {
        // An operator replaces a VM while an answer streams through it. The caller gets the rest of it; new callers are
        // sent elsewhere.
        String prompt = "Long. [[tokens=250]]";
        HttpResponse<InputStream> stream = fleet.open(fleet.chat(0, "question", prompt, true));

        fleet.daemons.get(0).drain().begin("test");

        assertThat(textOf(FleetFixture.text(stream.body())))
                .isEqualTo(ExpectedAnswer.whole(ExpectedAnswer.promptOf(prompt), 400));
        fleet.daemons.get(0).drain().done().block(fleet.daemons.get(0).drain().limit());
        FleetFixture.await(() -> !fleet.send(fleet.call(1, "/v1/addresses").GET())
                .body()
                .contains(":" + fleet.daemons.get(0).callersPort() + "\""));
    }

    @Test
    void rollsAModelVersionWhileCallersAreServed() {
        // An operator puts version 2 of a model in force. The engines have only version 1 loaded; each is to get
        // version
        // 2 and then lose version 1, and no caller is to notice.
        fleet.configuration.publish(
                ConfigurationServiceStandIn.Kind.PATCH,
                "[patch]\nbase = 1\nauthor = test\nreason = roll\n[set class question]\nversion = 2\n"
                        + "[set class signed]\nversion = 2\n");

        FleetFixture.await(() -> {
            HttpResponse<String> answer = fleet.send(fleet.chat(1, "question", "x [[tokens=2]]", false));
            assertThat(answer.statusCode()).as(answer.body()).isEqualTo(200);
            return fleet.hasOnly("2");
        });
        assertThat(fleet.get(fleet.daemons.get(0).operatorsPort(), "/audit")
                        + fleet.get(fleet.daemons.get(1).operatorsPort(), "/audit"))
                .contains("load bond 2")
                .contains("unload bond 1");
    }

    @Test
    void showsOperatorsWhatItCountedAndTellsThemWhatIsWrongWithACall() {
        fleet.send(fleet.service(0, "payout", "m-1"));
        fleet.send(fleet.service(0, "nonsense", "m-2"));
        int port = fleet.daemons.get(0).operatorsPort();

        assertThat(fleet.get(port, "/classes")).contains("\"payout\":{\"attained\":1,\"outcome.answered\":1");
        assertThat(fleet.get(port, "/metrics")).contains("class_payout_outcome_answered 1.0", "refused_404 1.0");
        assertThat(fleet.get(port, "/metrics.json")).contains("\"class.payout.duration.count\":1");
        assertThat(fleet.get(port, "/configuration")).contains("\"number\":1", "\"draining\":false");
        assertThat(fleet.get(port, "/audit?after=x")).isEqualTo("after: expected a whole number, found x\n");
    }

    private String ticket() {
        HttpResponse<String> minted =
                fleet.send(fleet.call(0, "/v1/tickets").POST(HttpRequest.BodyPublishers.noBody()));
        assertThat(minted.statusCode()).isEqualTo(201);
        return minted.body().replaceAll(".*\"ticket\":\"([^\"]+)\".*", "$1");
    }

    private HttpRequest.Builder body(String body) {
        return fleet.call(0, "/v1/chat/completions").POST(HttpRequest.BodyPublishers.ofString(body));
    }

    private void assertProblem(HttpRequest.Builder request, int status, String detail) {
        HttpResponse<String> response = fleet.send(request);
        assertThat(response.statusCode()).isEqualTo(status);
        assertThat(response.headers().firstValue("X-Outcome")).contains("not-run");
        assertThat(response.body()).contains("\"outcome\":\"not-run\"").contains(detail);
    }

    private String textOf(String events) throws Exception {
        StringBuilder text = new StringBuilder();
        for (String line : events.split("\n")) {
            if (line.startsWith("data: {")) {
                text.append(json.readTree(line.substring(6))
                        .at("/choices/0/delta/content")
                        .asText(""));
            }
        }
        return text.toString();
    }
}
