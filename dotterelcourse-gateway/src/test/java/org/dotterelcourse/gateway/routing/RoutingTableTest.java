package org.dotterelcourse.gateway.routing;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class RoutingTableTest {
    private final RoutingTable table = RoutingTable.builder(7)
            .route(route("all", "a.example", "/"))
            .route(route("deep", "a.example", "/x/y/"))
            .route(route("shallow", "a.example", "/x/"))
            .customer(new Customer("school", OptionalInt.empty()), List.of("key-1", "key-2"))
            .build();

    @Test
    void theRouteWithTheLongestMatchingPrefixIsChosen() {
        assertThat(table.route("a.example", "/x/y/z").orElseThrow().name()).isEqualTo("deep");
        assertThat(table.route("a.example", "/x/z").orElseThrow().name()).isEqualTo("shallow");
        assertThat(table.route("a.example", "/xy").orElseThrow().name()).isEqualTo("all");
    }

    @Test
    void hostsAreMatchedWithoutPortAndCase() {
        assertThat(table.route("A.Example:8080", "/x/1")).isPresent();
        assertThat(table.route("b.example", "/x/1")).isEmpty();
    }

    @Test
    void aCustomerIsFoundByAnyOfItsKeys() {
        assertThat(table.requiresKey()).isTrue();
        assertThat(table.customer("key-2").orElseThrow().name()).isEqualTo("school");
        assertThat(table.customer("")).isEmpty();
    }

    @Test
    void requestsAreDividedAmongUpstreamsInProportionToTheirWeights() {
        Route route = new Route(
                "r",
                "a.example",
                "/",
                RequestKind.IDEMPOTENT,
                1_000,
                100,
                0,
                0,
                List.of(new Route.UpstreamShare("much", 90), new Route.UpstreamShare("little", 10)),
                1,
                false,
                false);
        Map<String, Integer> counts = new HashMap<>();
        for (int i = 0; i < 10_000; i++) {
            counts.merge(route.upstreamFor("request-" + i), 1, Integer::sum);
        }
        assertThat(counts.get("little")).isBetween(700, 1_300);
        assertThat(route.upstreamFor("request-1")).isEqualTo(route.upstreamFor("request-1"));
    }

    private static Route route(String name, String host, String prefix) {
        return new Route(
                name,
                host,
                prefix,
                RequestKind.IDEMPOTENT,
                1_000,
                100,
                0,
                0,
                List.of(new Route.UpstreamShare("u", 1)),
                1,
                false,
                false);
    }
}
