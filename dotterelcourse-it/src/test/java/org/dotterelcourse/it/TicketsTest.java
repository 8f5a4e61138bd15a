package org.dotterelcourse.it;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;

import com.fasterxml.jackson.databind.ObjectMapper;
import org.dotterelcourse.standins.ExpectedAnswer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/** Payouts that callers repeat, with tickets and idempotency keys, judged by how often the service ran them. */
final class TicketsTest {
    private static final int REPETITIONS = 30;
    private static final int OK = 200;
    private static final String ID = "payout-1";
    private static final String BODY = "{\"sum\":12}";
    private static final Duration LIMIT = Duration.ofSeconds(30);

    private final HttpClient client =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private Fleet fleet;

    @BeforeEach
    void start() {
        fleet = new Fleet(1, 2).daemons(3);
    }

    @AfterEach
    void close() {
        fleet.close();
    }

    // A caller's connection is slow, and its library sends the same payout again and again to every daemon it knows.
    // The holder must be paid once, and the caller must never be told that a payout that ran was not run.
    @Test
    void aTicketIsSpentOnceHoweverOftenAndWhereverItIsSent() throws IOException {
        List<DaemonProcess> daemons = fleet.daemons();
        String ticket = mint(daemons.get(0));
        List<CompletableFuture<HttpResponse<String>>> calls = new ArrayList<>();
        for (int i = 0; i < REPETITIONS; i++) {
            calls.add(pay(daemons.get(i % daemons.size()), "X-Ticket", ticket));
        }
        assertPaidOnce(calls);
    }

    // The daemon that minted a ticket dies before the payout is sent. No other may spend the ticket: nobody knows
    // whether the dead one had spent it.
    @Test
    void aTicketOfADaemonThatDiedRunsNowhere() throws IOException {
        List<DaemonProcess> daemons = fleet.daemons();
        String ticket = mint(daemons.get(0));
        daemons.get(0).signal("KILL");
        Await.until("the process is gone", () -> !daemons.get(0).alive());
        for (DaemonProcess each : daemons.subList(1, 3)) {
            HttpResponse<String> answer = pay(each, "X-Ticket", ticket).join();
            assertThat(answer.statusCode()).isNotEqualTo(OK);
            assertThat(answer.headers().firstValue("X-Outcome")).contains("unknown");
        }
        assertThat(fleet.runs()).doesNotContainKey(ID);
    }

    // A ticket's minter is paused by its host while the caller sends the payout elsewhere, and wakes up later. The
    // payout may run once at most, and what the caller is told must agree with what ran.
    @Test
    void aPausedMinterLetsNothingRunTwiceWhenItWakes() throws IOException {
        List<DaemonProcess> daemons = fleet.daemons();
        String ticket = mint(daemons.get(0));
        List<CompletableFuture<HttpResponse<String>>> calls = new ArrayList<>();
        daemons.get(0).signal("STOP");
        try {
            calls.add(pay(daemons.get(1), "X-Ticket", ticket));
            calls.add(pay(daemons.get(2), "X-Ticket", ticket));
            Await.until("the pause is noticed", () -> daemons.get(1).aliveMembers() == 2);
        } finally {
            daemons.get(0).signal("CONT");
        }
        calls.add(pay(daemons.get(0), "X-Ticket", ticket));
        for (CompletableFuture<HttpResponse<String>> each : calls) {
            each.join();
        }
        assertThat(fleet.runs().getOrDefault(ID, 0)).isLessThanOrEqualTo(1);
        assertTrue(calls);
    }

    // A caller's library repeats a payout on the same daemon with its idempotency key and without a ticket.
    @Test
    void anIdempotencyKeyRunsOnceInOneDaemon() throws IOException {
        List<CompletableFuture<HttpResponse<String>>> calls = new ArrayList<>();
        for (int i = 0; i < REPETITIONS; i++) {
            calls.add(pay(fleet.daemons().get(0), "X-Idempotency-Key", "key-1"));
        }
        assertPaidOnce(calls);
    }

    private void assertPaidOnce(List<CompletableFuture<HttpResponse<String>>> calls) {
        long paid = calls.stream()
                .map(CompletableFuture::join)
                .filter(answer -> answer.statusCode() == OK)
                .peek(answer ->
                        assertThat(answer.body()).isEqualTo(ExpectedAnswer.service("/pay/out", BODY.getBytes())))
                .count();
        assertThat(fleet.runs()).containsEntry(ID, 1);
        assertThat(paid).isEqualTo(1);
        assertTrue(calls);
    }

    /** Nobody is told that it was not run when it ran. */
    private void assertTrue(List<CompletableFuture<HttpResponse<String>>> calls) {
        if (fleet.runs().containsKey(ID)) {
            for (CompletableFuture<HttpResponse<String>> each : calls) {
                assertThat(each.join().headers().firstValue("X-Outcome"))
                        .as(each.join().body())
                        .isNotEmpty()
                        .isNotEqualTo(java.util.Optional.of("not-run"));
            }
        }
    }

    private String mint(DaemonProcess daemon) throws IOException {
        HttpResponse<String> answer = send(daemon, "/v1/tickets", "", "X-Request-Class", Documents.PAYOUT)
                .join();
        return new ObjectMapper().readTree(answer.body()).path("ticket").asText();
    }

    private CompletableFuture<HttpResponse<String>> pay(DaemonProcess daemon, String header, String value) {
        return send(daemon, "/v1/services/counter-api/pay/out", BODY, header, value);
    }

    private CompletableFuture<HttpResponse<String>> send(
            DaemonProcess daemon, String path, String body, String header, String value) {
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + daemon.callers() + path))
                .timeout(LIMIT)
                .header("Authorization", "Bearer " + Documents.KEY)
                .header("X-Request-Id", ID)
                .setHeader("X-Request-Class", Documents.PAYOUT)
                .setHeader(header, value)
                .POST(HttpRequest.BodyPublishers.ofString(body))
                .build();
        return client.sendAsync(request, HttpResponse.BodyHandlers.ofString());
    }
}
