package org.dotterelcourse.it;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;

import org.dotterelcourse.standins.Fault;
import org.dotterelcourse.standins.LoadResult;
import org.dotterelcourse.standins.ProxyLink;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/** Real daemons while upstreams and the way to them fail, judged by what callers receive and what upstreams ran. */
final class UpstreamFaultsTest {
    private Fleet fleet;

    @BeforeEach
    void start() {
        fleet = new Fleet(4, 2).daemons(2);
    }

    @AfterEach
    void close() {
        fleet.close();
    }

    // Answers come late and out of order, and a middlebox resets connections to engines again and again. Each of
    // hundreds of callers must get its own whole answer, never a part of another's.
    @Test
    void everyCallerGetsItsOwnWholeAnswerWhileConnectionsToEnginesAreCut() {
        for (int i = 1; i <= 4; i++) {
            fleet.proxy().link("llm-" + i).delay(Duration.ZERO, Duration.ofMillis(30));
        }
        CompletableFuture<LoadResult> load = fleet.load(120, 4, 20, 120);
        for (int i = 1; i <= 4; i++) {
            fleet.awaitRunning(8);
            fleet.proxy().link("llm-" + i).cut();
        }
        LoadResult result = load.join();
        assertThat(result.clean()).as(result.table()).isTrue();
        assertAllAnswered(result, Documents.QUESTION, Documents.SUMMARY, Documents.CHECK, Documents.PAYOUT);
    }

    // An engine's process dies in the middle of many answers. Callers must notice nothing where the work may be done
    // again, and where it may not they must be told so.
    @Test
    void theAnswersOfAnEngineThatCrashesAreFinishedByOthers() {
        CompletableFuture<LoadResult> load = fleet.load(60, 4, 100, 300);
        Await.until("the engine is busy", () -> fleet.engine(1).running() >= 4);
        fleet.engine(1).fault(Fault.of(Fault.Kind.CRASH));
        LoadResult result = load.join();
        assertThat(result.clean()).as(result.table()).isTrue();
        assertAllAnswered(result, Documents.QUESTION, Documents.SUMMARY, Documents.CHECK, Documents.PAYOUT);
        assertThat(result.of(Documents.SIGNED).cut()).as(result.table()).isZero();
    }

    // Something between a daemon and an engine loses track of the open connections: they go silent for good, while new
    // ones work. A caller would wait for ever for the rest of its answer.
    @Test
    void connectionsToAnEngineThatGoSilentAreGivenUpAndTheirAnswersFinished() {
        CompletableFuture<LoadResult> load = fleet.load(60, 4, 100, 300);
        Await.until("the engine is busy", () -> fleet.engine(2).running() >= 4);
        fleet.proxy().link("llm-2").silenceOpen(ProxyLink.Direction.BOTH);
        LoadResult result = load.join();
        assertThat(result.clean()).as(result.table()).isTrue();
        assertAllAnswered(result, Documents.QUESTION, Documents.SUMMARY, Documents.CHECK, Documents.PAYOUT);
    }

    // A middlebox forgets all connections between daemons and upstreams while some lie idle in pools. The next callers'
    // requests go into them and are lost without a word; each must still get its answer.
    @Test
    void pooledConnectionsThatWentSilentWhileIdleCostNoAnswer() {
        fleet.load(30, 2, 5, 20).join();
        fleet.silenceOpenConnections();
        LoadResult result = fleet.load(30, 3, 5, 20).join();
        assertThat(result.clean()).as(result.table()).isTrue();
        assertAllAnswered(
                result, Documents.QUESTION, Documents.SUMMARY, Documents.SIGNED, Documents.CHECK, Documents.PAYOUT);
    }

    // Connections to a plain service are reset while payouts run there. Whether such a payout ran is not known; nobody
    // may run it a second time, and nobody may say that it was not run.
    @Test
    void aCallThatMayNotBeRepeatedRunsAtMostOnceWhenItsConnectionIsCut() {
        fleet.proxy().link("api-1").delay(Duration.ofMillis(40), Duration.ofMillis(40));
        CompletableFuture<LoadResult> load = fleet.load(50, 6, 5, 10);
        // Few enough that the retry budget, a tenth of the successes and a small reserve, covers what is repeated.
        for (int i = 0; i < 6; i++) {
            long passed = fleet.proxy().link("api-1").counts().passed();
            Await.until(
                    "calls pass",
                    () -> load.isDone() || fleet.proxy().link("api-1").counts().passed() > passed);
            fleet.proxy().link("api-1").cut();
        }
        LoadResult result = load.join();
        assertThat(result.clean()).as(result.table()).isTrue();
        assertThat(result.of(Documents.PAYOUT).answered()).isPositive();
        assertAllAnswered(result, Documents.CHECK, Documents.QUESTION);
    }

    // An engine is about to be taken away and refuses new work. It must get none after a few seconds, and no caller may
    // notice.
    @Test
    void anEngineThatIsLeavingGetsNoNewWorkAndNoCallerNotices() {
        CompletableFuture<LoadResult> load = fleet.load(40, 10, 50, 150);
        Await.until("the engine is busy", () -> fleet.engine(3).running() >= 2);
        fleet.engine(3).fault(Fault.of(Fault.Kind.LEAVING));
        Await.until("the engine is empty", () -> fleet.engine(3).running() == 0 || load.isDone());
        assertThat(load).isNotDone();
        int started = fleet.engine(3).stats().size();
        LoadResult result = load.join();
        assertThat(fleet.engine(3).stats()).hasSize(started);
        assertThat(result.clean()).as(result.table()).isTrue();
        assertAllAnswered(result, Documents.QUESTION, Documents.SUMMARY, Documents.SIGNED);
    }

    // A caller closes its page in the middle of a long answer. The engine must stop working on it, or its places fill
    // with answers that nobody reads.
    @Test
    void aCallerThatGoesAwayEndsItsWorkAtTheEngine() throws IOException {
        String[] address = fleet.daemons().get(0).callers().split(":");
        String body = "{\"stream\":true,\"messages\":[{\"role\":\"user\",\"content\":\"[[tokens=1900]]\"}]}";
        try (Socket caller = new Socket(address[0], Integer.parseInt(address[1]))) {
            String request = "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + Documents.KEY
                    + "\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
            caller.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
            assertThat(caller.getInputStream().read()).isPositive();
            fleet.awaitRunning(1);
        }
        Await.until("the engines are empty", () -> fleet.running() == 0);
        assertThat(fleet.generated()).isLessThan(1900);
    }

    static void assertAllAnswered(LoadResult result, String... classes) {
        for (String each : classes) {
            assertThat(result.of(each).sent()).isPositive();
            assertThat(result.of(each).answered())
                    .as(each + "\n" + result.table())
                    .isEqualTo(result.of(each).sent());
        }
    }
}
