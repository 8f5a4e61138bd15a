package org.dotterelcourse.gateway.routing;

import java.lang.management.ManagementFactory;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.CharRange;
import net.jqwik.api.constraints.Size;
import net.jqwik.api.constraints.StringLength;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class RouteIndexTest {
    // Guards against an index that finds another route than a comparison with all of them, also for prefixes that end
    // within a segment and for equal ones.
    @Property(tries = 3_000, seed = "3")
    void theSameRouteIsFoundAsByAComparisonWithAllRoutes(
            @ForAll @Size(max = 12) List<@StringLength(max = 7) @CharRange(from = '.', to = '1') String> prefixes,
            @ForAll @Size(max = 8) List<@StringLength(max = 9) @CharRange(from = '.', to = '1') String> paths) {
        RouteIndex index = new RouteIndex();
        List<Route> routes = new ArrayList<>();
        for (String prefix : prefixes) {
            Route route = route("r" + routes.size(), prefix);
            routes.add(route);
            index.add(route);
        }
        for (String path : paths) {
            assertThat(index.find("a.example", path)).isEqualTo(longest(routes, path));
        }
        assertThat(index.find("b.example", "/")).isEmpty();
    }

    // Guards against requests that take longer the more routes there are: a scan compares 10,000 of these 20,000 routes
    // for each request, which takes more than 3 s for all of them.
    @Test
    void manyRoutesOfOneHostAreFoundWithoutAScan() {
        RouteIndex index = new RouteIndex();
        for (int i = 0; i < 20_000; i++) {
            index.add(route("r" + i, prefix(i)));
        }
        long startNanos = ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime();
        for (int i = 0; i < 100_000; i++) {
            int number = i % 20_000;
            Route route = index.find("a.example", prefix(number) + "x").orElseThrow();
            if (!route.name().equals("r" + number)) {
                throw new AssertionError("found " + route);
            }
        }
        assertThat(ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime() - startNanos)
                .isLessThan(1_000_000_000L);
    }

    private static String prefix(int number) {
        return "/tenant-" + number % 500 + "/declarations/" + number + "/";
    }

    // Guards against a request whose path of many segments occupies the event loop.
    @Test
    void aPathOfManySegmentsIsComparedOnlyAsFarAsPrefixesReach() {
        RouteIndex index = new RouteIndex();
        index.add(route("r", "/a/"));
        index.add(route("part", "/a/a/b"));
        String path = "/a".repeat(500_000);
        assertThat(index.find("a.example", path).orElseThrow().name()).isEqualTo("r");
    }

    private static Optional<Route> longest(List<Route> routes, String path) {
        return routes.stream()
                .sorted(Comparator.comparingInt(
                                (Route route) -> route.pathPrefix().length())
                        .reversed())
                .filter(route -> path.startsWith(route.pathPrefix()))
                .findFirst();
    }

    private static Route route(String name, String prefix) {
        return new Route(
                name,
                "a.example",
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
