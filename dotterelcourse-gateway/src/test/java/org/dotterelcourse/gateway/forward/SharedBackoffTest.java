package org.dotterelcourse.gateway.forward;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import org.dotterelcourse.gateway.GatewayState;
import org.dotterelcourse.gateway.routing.RequestKind;
import org.dotterelcourse.gateway.routing.Route;
import org.dotterelcourse.gateway.routing.UpstreamSpec;
import org.dotterelcourse.gateway.workers.WorkerEntry;
import org.dotterelcourse.policy.cold.ColdStart;
import org.dotterelcourse.policy.selection.TransferCost;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class SharedBackoffTest {
    private static final long NOW_NANOS = 1_000_000_000_000L;
    private static final int CLIENTS = 200;

    private final GatewayState state = new GatewayState(new GatewayState.RetryLimit(0.2, 50, 10_000_000_000L));
    private final SharedBackoff sharedBackoff = new SharedBackoff(state, new Random(20261203));

    @Test
    void clientsReturnAfterTheFirstBackoffAndNotAllAtOnce() {
        requestBackoffs(4_000, 3_000);
        Set<Long> times = new TreeSet<>();
        for (int i = 0; i < CLIENTS; i++) {
            times.add(retryAfterMillis().orElseThrow());
        }
        assertThat(times).allMatch(millis -> millis >= 3_000 && millis <= 3_750).hasSizeGreaterThan(CLIENTS / 4);
    }

    @Test
    void clientsDoNotReturnAtOnceWhenABackoffIsAboutToEnd() {
        requestBackoffs(1, 2);
        assertThat(retryAfterMillis().orElseThrow()).isGreaterThanOrEqualTo(250);
    }

    @Test
    void theSpreadOfALongBackoffIsLimited() {
        requestBackoffs(3_600_000, 3_600_000);
        assertThat(retryAfterMillis().orElseThrow()).isBetween(3_600_000L, 3_602_000L);
    }

    @Test
    void thereIsNoRetryAfterWhileOneWorkerAcceptsRequests() {
        requestBackoffs(3_000, 0);
        assertThat(retryAfterMillis()).isEmpty();
    }

    private OptionalLong retryAfterMillis() {
        return sharedBackoff.retryAfterMillis(call(), NOW_NANOS);
    }

    /** Publishes a worker for each value, with a backoff of so many milliseconds; 0 for none. */
    private void requestBackoffs(long... millis) {
        for (int i = 0; i < millis.length; i++) {
            WorkerEntry entry = new WorkerEntry("w-" + i, 0, "plain", "10.0.0." + i, 80, "dc-a", 6, false, 0, "");
            state.workers().addOrUpdate(entry, NOW_NANOS);
            state.workers().backoffs().extend(entry.incarnation(), millis[i], NOW_NANOS);
        }
    }

    private static Call call() {
        Route route = new Route(
                "get",
                "a.example",
                "/",
                RequestKind.IDEMPOTENT,
                5_000,
                100,
                0,
                0,
                List.of(new Route.UpstreamShare("plain", 1)),
                2,
                false,
                false);
        UpstreamSpec upstream = new UpstreamSpec("plain", false, 1, TransferCost.unsupported(), ColdStart.none());
        Call.Attributes attributes = new Call.Attributes(
                "id",
                route,
                upstream,
                "bank",
                0,
                Optional.empty(),
                NOW_NANOS,
                NOW_NANOS + 5_000_000_000L,
                Optional.empty());
        return new Call(attributes, HttpMethod.POST, "/1", new DefaultHttpHeaders(), new byte[0]);
    }
}
