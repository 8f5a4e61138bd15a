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

class SuspectPlacementTest {
    private static final int ENGINE_COUNT = 6;
    private static final int SUSPECT_COUNT = 4;
    private static final long NOW_NANOS = 1_000_000_000_000L;
    private static final UpstreamSpec UPSTREAM =
            new UpstreamSpec("llm", true, 2, TransferCost.unsupported(), ColdStart.none());
    private static final Prompt PROMPT = new Prompt(
            List.of(new Prompt.Part("shared", 13_300), new Prompt.Part("own", 100)),
            13_400,
            60,
            LatencyClass.START_SENSITIVE);

    private final GatewayState state = new GatewayState(new GatewayState.RetryLimit(0.2, 50, 10_000_000_000L));
    private final WorkerSelection selection = new WorkerSelection("dc-a", state, new Random(20261203));

    @BeforeEach
    void publishEngines() {
        for (int i = 0; i < ENGINE_COUNT; i++) {
            WorkerEntry entry = new WorkerEntry("e-" + i, 0, "llm", "10.0.0." + i, 80, "dc-a", 16, false, 0, "");
            state.workers().addOrUpdate(entry, NOW_NANOS);
        }
    }

    @Test
    void suspectRequestsArePlacedOnSeparateWorkers() {
        Set<String> workers = new HashSet<>();
        for (int i = 0; i < SUSPECT_COUNT; i++) {
            workers.add(place(suspectCall("id-" + i)));
        }
        assertThat(workers).hasSize(SUSPECT_COUNT);
    }

    @Test
    void suspectRequestsShareWorkersIfThereAreTooFew() {
        for (int i = 0; i < ENGINE_COUNT + SUSPECT_COUNT; i++) {
            assertThat(place(suspectCall("id-" + i))).isNotEmpty();
        }
    }

    // Guards against a rejection while the only workers without a suspect request are backing off.
    @Test
    void suspectRequestsShareAWorkerIfAllOthersAreBackingOff() {
        assertThat(place(suspectCall("id-0"))).isNotEmpty();
        String used = state.workers().withSuspectRequests().get(0);
        for (int i = 0; i < ENGINE_COUNT; i++) {
            if (!used.equals("e-" + i)) {
                int worker =
                        state.workers().find("e-" + i).orElseThrow().entry().incarnation();
                state.workers().backoffs().extend(worker, 3_000, NOW_NANOS);
            }
        }
        assertThat(place(suspectCall("id-1"))).isEqualTo(used);
    }

    private String place(Call call) {
        WorkerSelection.Outcome outcome = selection.place(call, NOW_NANOS);
        return ((WorkerSelection.Outcome.Placed) outcome).placement().entry().id();
    }

    private static Call suspectCall(String id) {
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
        Call.Attributes attributes = new Call.Attributes(
                id,
                route,
                UPSTREAM,
                "bank",
                0,
                Optional.of(PROMPT),
                NOW_NANOS,
                NOW_NANOS + 8_000_000_000L,
                Optional.empty());
        Call call = new Call(attributes, HttpMethod.POST, "/1", new DefaultHttpHeaders(), new byte[0]);
        call.setSuspect(true);
        return call;
    }
}
