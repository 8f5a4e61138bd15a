package org.dotterelcourse.gateway.routing;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class UrgencyLevelsTest {
    // All customers have the same priority. If it replaced the priority of the route, an engine that runs out of memory
    // would preempt interactive responses as readily as long drafts.
    @Test
    void routesKeepTheirOrderIfAllCustomersHaveTheSamePriority() {
        RoutingTable table = table(List.of(0, 1, 2), List.of(1, 1));
        assertThat(urgency(table, 0, 1)).isLessThan(urgency(table, 1, 1));
        assertThat(urgency(table, 1, 1)).isLessThan(urgency(table, 2, 1));
    }

    // One customer is more urgent than the others and sends a burst of long drafts. If its priority took precedence
    // over that of the routes, engines without free memory would preempt the interactive responses of all others for
    // its drafts.
    @Test
    void aMoreUrgentCustomerTakesPrecedenceOnlyWithinARoute() {
        RoutingTable table = table(List.of(0, 1, 2), List.of(0, 1));
        assertThat(urgency(table, 2, 0)).isLessThan(urgency(table, 2, 1));
        assertThat(urgency(table, 1, 1)).isLessThan(urgency(table, 2, 0));
        assertThat(urgency(table, 0, 1)).isLessThan(urgency(table, 1, 0));
    }

    @Test
    void routesDecideIfCustomersHaveNoPriorities() {
        RoutingTable table = table(List.of(0, 2), List.of());
        assertThat(table.urgency(route(0), Optional.empty())).isZero();
        assertThat(table.urgency(route(2), Optional.empty())).isEqualTo(1);
    }

    @Property(tries = 300, seed = "7")
    void theOrderIsPreservedWithinTenLevels(
            @ForAll @Size(min = 1, max = 6) List<@IntRange(max = 20) Integer> routes,
            @ForAll @Size(min = 1, max = 6) List<@IntRange(max = 20) Integer> customers) {
        RoutingTable table = table(routes, customers);
        for (int route : routes) {
            for (int customer : customers) {
                int level = urgency(table, route, customer);
                assertThat(level).isBetween(0, 9);
                for (int other : routes) {
                    if (route <= other) {
                        assertThat(level).isLessThanOrEqualTo(urgency(table, other, customer));
                    }
                }
                for (int other : customers) {
                    if (customer < other) {
                        assertThat(level).isLessThanOrEqualTo(urgency(table, route, other));
                    }
                }
            }
        }
    }

    private static int urgency(RoutingTable table, int route, int customer) {
        return table.urgency(route(route), Optional.of(new Customer("c", OptionalInt.of(customer))));
    }

    private static RoutingTable table(List<Integer> routes, List<Integer> customers) {
        RoutingTable.Builder table = RoutingTable.builder(1);
        routes.forEach(priority -> table.route(route(priority)));
        List<Customer> all = new ArrayList<>();
        customers.forEach(priority -> all.add(new Customer("c" + all.size(), OptionalInt.of(priority))));
        all.forEach(customer -> table.customer(customer, List.of("key of " + customer.name())));
        return table.build();
    }

    private static Route route(int priority) {
        return new Route(
                "r" + priority,
                "a.example",
                "/" + priority + "/",
                RequestKind.IDEMPOTENT,
                1_000,
                100,
                0,
                priority,
                List.of(new Route.UpstreamShare("u", 1)),
                1,
                false,
                false);
    }
}
