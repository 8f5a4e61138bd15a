package org.dotterelcourse.daemon.upstream;

import java.time.Duration;
import java.util.List;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.dotterelcourse.standins.EngineStandIn;
import org.dotterelcourse.standins.ExpectedAnswer;
import org.junit.jupiter.api.Test;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

import static org.assertj.core.api.Assertions.assertThat;

class HttpEngineTest {
    private static final int CALLS = 40;
    private static final int TOKENS = 150;

    @Test
    void doesNotMixAnswersOfConcurrentStreamsWithSlowReaders() {
        // Guards against clients receiving parts of other clients' answers. On a loaded machine, clients read more
        // slowly than engines write, so data is queued in the daemon. If it were queued as network buffers, these would
        // be reused for other answers before they are read.
        Duration stepTime = Duration.ofNanos(500_000);
        try (EngineStandIn engine = EngineStandIn.builder()
                .limits(64, 64)
                .times(stepTime, Duration.ZERO, Duration.ZERO)
                .model("bond", "1")
                .build()
                .start()) {
            HttpEngine client = new HttpEngine(UpstreamTimeouts.DEFAULT);
            List<String> answers = Flux.range(0, CALLS)
                    .flatMapSequential(i -> readSlowly(client.stream(call(engine, i))), CALLS)
                    .collectList()
                    .block(Duration.ofSeconds(60));

            for (int i = 0; i < CALLS; i++) {
                assertThat(answers.get(i)).isEqualTo(ExpectedAnswer.whole(ExpectedAnswer.promptOf(prompt(i)), TOKENS));
            }
        }
    }

    private static Mono<String> readSlowly(Flux<EngineEvent> events) {
        return events.concatMap(event -> Mono.just(event).delayElement(Duration.ofMillis(5)), 1)
                .map(event -> event instanceof EngineEvent.Piece piece ? piece.text() : "")
                .reduce("", String::concat);
    }

    private static EngineCall call(EngineStandIn engine, int i) {
        ObjectNode body = new ObjectMapper().createObjectNode();
        body.putArray("messages").addObject().put("role", "user").put("content", prompt(i));
        return new EngineCall(engine.address(), "r-" + i, body, "bond", "1", TOKENS, 0, "", 0);
    }

    private static String prompt(int i) {
        return "Question " + i + " [[tokens=" + TOKENS + "]]";
    }
}
