package org.dotterelcourse.tool;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;

import com.fasterxml.jackson.databind.JsonNode;
import org.dotterelcourse.standins.RawAnswerServer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import reactor.core.publisher.Mono;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServer;

import static org.assertj.core.api.Assertions.assertThat;

class DaemonCommandsTest {
    private static final String MEMBERS =
            "[{\"name\":\"entry-2\",\"state\":\"live\",\"seen\":{\"by\":\"udp\"}},{\"name\":\"entry-3\",\"state\":\"suspect\"}]";
    private static final String CLASSES = "{\"chat\":{\"answered\":12,\"shed\":3},\"lookup\":{\"answered\":7}}";

    private final List<DisposableServer> servers = new ArrayList<>();
    private final Queue<String> requests = new ConcurrentLinkedQueue<>();

    @AfterEach
    void stopServers() {
        servers.forEach(DisposableServer::disposeNow);
    }

    @Test
    void statusShowsWhatEachDaemonHasInForce() throws Exception {
        String one = daemon("entry-1", 7, "aa");
        String two = daemon("entry-2", 7, "aa");

        ToolRun people = ToolRun.of("status", "--daemon", one, "--daemon", two);
        JsonNode machine = ToolRun.of("status", "--daemon", one, "--json").json();

        assertThat(people.code()).isEqualTo(ExitCode.OK);
        assertThat(people.out())
                .containsPattern(one + " +entry-1 +ready +7 +aa +3")
                .contains("entry-2");
        assertThat(machine.get(0).get("configuration").get("number").asInt()).isEqualTo(7);
        assertThat(machine.get(0).get("ready").asBoolean()).isTrue();
    }

    /**
     * Two daemons were handed different content under one number, by a faulty publisher. Both call themselves up to
     * date, and callers are served by different rules depending on where they connect.
     */
    @Test
    void differentDigestsOfOneNumberAreAnAlarm() {
        String one = daemon("entry-1", 7, "aa");
        String two = daemon("entry-2", 7, "bb");

        ToolRun run = ToolRun.of("status", "--daemon", one, "--daemon", two);

        assertThat(run.code()).isEqualTo(ExitCode.FINDINGS);
        assertThat(run.err()).contains("ALARM: number 7 has different digests");
    }

    @Test
    void listsAndNamedObjectsArePrintedAsTables() {
        String daemon = daemon("entry-1", 7, "aa");

        assertThat(ToolRun.of("members", "--daemon", daemon).out())
                .containsPattern("name +state +seen.by")
                .containsPattern("entry-3 +suspect +-");
        assertThat(ToolRun.of("classes", "--daemon", daemon).out())
                .containsPattern("name +answered +shed")
                .containsPattern("chat +12 +3");
    }

    @Test
    void auditAsksForTheChangesAfterASequenceNumber() throws Exception {
        String daemon = daemon("entry-1", 7, "aa");

        ToolRun run = ToolRun.of("audit", "--daemon", daemon, "--after", "41", "--json");

        assertThat(requests).contains("/audit?after=41");
        assertThat(run.json().get(0).get("daemon").asText()).isEqualTo(daemon);
        assertThat(run.json().get(0).get("answer").get(0).get("sequence").asInt())
                .isEqualTo(42);
    }

    @Test
    void drainReachesEveryDaemonThatIsNamed() {
        String one = daemon("entry-1", 7, "aa");
        String two = daemon("entry-2", 7, "aa");

        ToolRun run = ToolRun.of("drain", "--daemon", one, "--daemon", two);

        assertThat(run.code()).isEqualTo(ExitCode.OK);
        assertThat(run.out()).contains(one + " is draining", two + " is draining");
        assertThat(requests).containsExactly("POST /drain", "POST /drain");
    }

    /**
     * One of the daemons that the operator asks has gone. The others must still be shown, and a script must see from
     * the exit code that the picture is not whole.
     */
    @Test
    void aDaemonThatIsGoneIsNamedAndTheOthersAreShown() throws IOException {
        String gone = unusedAddress();
        String one = daemon("entry-1", 7, "aa");

        ToolRun run = ToolRun.of("status", "--daemon", gone, "--daemon", one);
        ToolRun drain = ToolRun.of("drain", "--daemon", gone, "--json");

        assertThat(run.code()).isEqualTo(ExitCode.UNREACHABLE);
        assertThat(run.err()).contains("daemon " + gone + " can't be reached");
        assertThat(run.out()).contains("entry-1");
        assertThat(drain.code()).isEqualTo(ExitCode.UNREACHABLE);
        assertThat(drain.json().get(0).get("draining").asBoolean()).isFalse();
    }

    // Guards against an answer with an invalid status line or an unknown framing that is shown as a daemon's state.
    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 000 None\r\nContent-Length: 2",
                "HTTP/1.1 600 Any\r\nContent-Length: 2",
                "HTTP/2.0 200 OK\r\nContent-Length: 2",
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: any"
            })
    void aDaemonWhoseAnswerIsNoHttpResponseIsReportedAsUnreachable(String head) {
        try (RawAnswerServer server = new RawAnswerServer(request ->
                new RawAnswerServer.Answer(head + "\r\n\r\n[]", 1 << 16, Optional.of(RawAnswerServer.End.FIN)))) {
            ToolRun run = ToolRun.of(
                    "classes", "--daemon", "127.0.0.1:" + server.address().getPort());
            assertThat(run.code()).isEqualTo(ExitCode.UNREACHABLE);
            assertThat(run.err() + run.out())
                    .contains("127.0.0.1:" + server.address().getPort(), "no HTTP/1.x response");
        }
    }

    /**
     * The tool is newer than a daemon and asks for what that one doesn't know. The operator sees the daemon's answer, and
     * does not take an empty table for the truth.
     */
    @Test
    void aDaemonThatDoesNotKnowThePathIsReportedWithItsAnswer() {
        ToolRun run = ToolRun.of("owners", "--daemon", daemon("entry-1", 7, "aa"));

        assertThat(run.code()).isEqualTo(ExitCode.UNREACHABLE);
        assertThat(run.err()).contains("answered 404 to /owners");
    }

    private String daemon(String name, int number, String digest) {
        String configuration =
                "{\"daemon\":\"%s\",\"number\":%d,\"digest\":\"%s\",\"inFlight\":3}".formatted(name, number, digest);
        DisposableServer server = HttpServer.create()
                .host("127.0.0.1")
                .port(0)
                .route(routes -> routes.get("/ready", (request, response) -> response.sendString(Mono.just("ready\n")))
                        .get("/configuration", (request, response) -> response.sendString(Mono.just(configuration)))
                        .get("/members", (request, response) -> response.sendString(Mono.just(MEMBERS)))
                        .get("/classes", (request, response) -> response.sendString(Mono.just(CLASSES)))
                        .get("/audit", (request, response) -> {
                            requests.add(request.uri());
                            return response.sendString(Mono.just("[{\"sequence\":42}]"));
                        })
                        .post("/drain", (request, response) -> {
                            requests.add("POST " + request.uri());
                            return response.status(202).send();
                        }))
                .bindNow();
        servers.add(server);
        return "127.0.0.1:" + server.port();
    }

    private static String unusedAddress() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return "127.0.0.1:" + socket.getLocalPort();
        }
    }
}
