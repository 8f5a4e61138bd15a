package org.dotterelcourse.gateway.forward;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import org.dotterelcourse.gateway.GatewayState;
import org.dotterelcourse.gateway.routing.RequestKind;
import org.dotterelcourse.gateway.routing.Route;
import org.dotterelcourse.gateway.routing.UpstreamSpec;
import org.dotterelcourse.gateway.workers.WorkerEntry;
import org.dotterelcourse.policy.cold.ColdStart;
import org.dotterelcourse.policy.selection.LatencyClass;
import org.dotterelcourse.policy.selection.Prompt;
import org.dotterelcourse.policy.selection.TransferCost;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class SelectionOfSuspectsTest {
    private static final int ENGINES = 6;
    private static final int SUSPECTS = 4;
    private static final long NOW = 1_000_000_000_000L;
    private static final UpstreamSpec UPSTREAM =
            new UpstreamSpec("llm", true, 2, TransferCost.unsupported(), ColdStart.none());
    private static final Prompt PROMPT = new Prompt(
            List.of(new Prompt.Part("shared", 13_300), new Prompt.Part("own", 100)),
            13_400,
            60,
            LatencyClass.START_SENSITIVE);

    private final GatewayState state = new GatewayState(new GatewayState.RetryLimit(0.2, 50, 10_000_000_000L));
    private final Selection selection = new Selection("dc-a", state, new Random(20261203));

    @BeforeEach
    void startEngines() {
        for (int i = 0; i < ENGINES; i++) {
            WorkerEntry entry = new WorkerEntry("e-" + i, 0, "llm", "10.0.0." + i, 80, "dc-a", 16, false, 0);
            state.workers().addOrUpdate(entry, NOW);
        }
    }

    @Test
    void requestsUnderWhichAWorkerCrashedAreNotSentToTheSameWorkerAgain() {
        Set<String> workers = new HashSet<>();
        for (int i = 0; i < SUSPECTS; i++) {
            workers.add(place(suspect("id-" + i)));
        }
        assertThat(workers).hasSize(SUSPECTS);
    }

    @Test
    void theyAreServedTogetherWhereThereAreTooFewWorkers() {
        for (int i = 0; i < ENGINES + SUSPECTS; i++) {
            assertThat(place(suspect("id-" + i))).isNotEmpty();
        }
    }

    private String place(Call call) {
        Selection.Outcome outcome = selection.place(call, NOW);
        return ((Selection.Outcome.Placed) outcome).placement().entry().id();
    }

    private static Call suspect(String id) {
        Route route = new Route(
                "draft",
                "a.example",
                "/",
                RequestKind.STREAMING,
                8_000,
                800,
                200,
                0,
                List.of(new Route.UpstreamShare("llm", 1)),
                2,
                false,
                true);
        Call.Terms terms =
                new Call.Terms(id, route, UPSTREAM, "bank", 0, Optional.of(PROMPT), NOW, NOW + 8_000_000_000L);
        Call call = new Call(terms, HttpMethod.POST, "/1", new DefaultHttpHeaders(), new byte[0]);
        call.suspect(true);
        return call;
    }
}
