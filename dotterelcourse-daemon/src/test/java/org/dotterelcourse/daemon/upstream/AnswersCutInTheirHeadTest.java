package org.dotterelcourse.daemon.upstream;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;

import com.fasterxml.jackson.databind.ObjectMapper;
import org.dotterelcourse.coordination.order.Fence;
import org.dotterelcourse.coordination.order.ModelVersion;
import org.dotterelcourse.coordination.order.Order;
import org.dotterelcourse.coordination.order.OrderAction;
import org.dotterelcourse.daemon.platform.HttpConfigSource;
import org.dotterelcourse.daemon.platform.HttpVmList;
import org.dotterelcourse.standins.RawAnswerServer;
import org.dotterelcourse.standins.RawAnswerServer.Answer;
import org.dotterelcourse.standins.RawAnswerServer.End;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests that an answer whose connection ends at any byte of its head is taken for no answer. */
class AnswersCutInTheirHeadTest {
    private static final Duration TIMEOUT = Duration.ofSeconds(60);
    private static final int CONCURRENT = 16;
    private static final List<String> FRAMINGS =
            List.of("Content-Length: 5", "Content-Length: 0", "Transfer-Encoding: chunked", "Server: none");

    // Guards against a service's answer without a body that none has sent.
    @ParameterizedTest
    @EnumSource(End.class)
    void aServicesAnswerIsNotTakenFromItsHead(End end) {
        for (boolean isPooled : new boolean[] {true, false}) {
            HttpPlainService service = new HttpPlainService(TIMEOUT, 1 << 20);
            assertThatAll(
                    end,
                    "failed",
                    address -> service.call(new ServiceCall(
                                    address, "r-1", "POST", "/draft", "text/plain", new byte[3], isPooled, TIMEOUT))
                            .map(reply -> reply instanceof ServiceReply.Failed ? "failed" : reply.toString()));
        }
    }

    // Guards against an engine's answer that ends as a whole one without a token.
    @ParameterizedTest
    @EnumSource(End.class)
    void anEnginesAnswerIsNotTakenFromItsHead(End end) {
        HttpEngine engine = new HttpEngine(UpstreamTimeouts.DEFAULT);
        assertThatAll(
                end,
                "[failed]",
                address -> engine.stream(new EngineCall(
                                address, "r-1", new ObjectMapper().createObjectNode(), "bond", "1", 10, 0, "", 0))
                        .map(event -> event instanceof EngineEvent.Failed ? "failed" : event.toString())
                        .collectList()
                        .map(List::toString));
    }

    // Guards against an order that counts as accepted by an engine that ended in its answer.
    @ParameterizedTest
    @EnumSource(End.class)
    void anOrderIsNotAcceptedByAHead(End end) {
        HttpEngineControl control = new HttpEngineControl();
        Order order = new Order("engine-1", Fence.of(7), new OrderAction.Load(new ModelVersion("bond", "1")));
        assertThatAll(end, "Failed[]", address -> control.write(address, order).map(Object::toString));
    }

    @ParameterizedTest
    @EnumSource(End.class)
    void noLoadIsReadFromAHead(End end) {
        HttpLoadReports reports = new HttpLoadReports();
        assertThatAll(end, "nothing", address -> reports.read(address).map(Object::toString));
    }

    // Guards against a configuration or a list of VMs that is empty because its answer was cut short.
    @ParameterizedTest
    @EnumSource(End.class)
    void noConfigurationAndNoVmIsReadFromAHead(End end) {
        assertThatAll(
                end, "error", address -> new HttpConfigSource(address).whole().map(Object::toString));
        assertThatAll(
                end, "error", address -> new HttpConfigSource(address).head().map(Object::toString));
        assertThatAll(end, "error", address -> new HttpVmList(address).read().map(Object::toString));
    }

    private static void assertThatAll(End end, String expected, Function<String, Mono<String>> call) {
        for (String framing : FRAMINGS) {
            for (int pieceBytes : new int[] {1 << 16, 7}) {
                String head = "HTTP/1.1 200 OK\r\nX-Number: 12\r\nX-Kind: whole\r\n" + framing + "\r\n\r\n";
                List<String> results = Flux.range(0, head.length())
                        .flatMap(
                                cut -> {
                                    Answer answer = new Answer(head.substring(0, cut), pieceBytes, Optional.of(end));
                                    return Mono.using(
                                                    () -> new RawAnswerServer(request -> answer),
                                                    server -> call.apply("127.0.0.1:"
                                                            + server.address().getPort()),
                                                    RawAnswerServer::close)
                                            .onErrorReturn("error")
                                            .defaultIfEmpty("nothing");
                                },
                                CONCURRENT)
                        .collectList()
                        .block(TIMEOUT);
                assertThat(results).as(framing).hasSize(head.length()).containsOnly(expected);
            }
        }
    }
}
