package org.dotterelcourse.gateway.routing;

import java.util.NavigableMap;
import java.util.NavigableSet;
import java.util.OptionalInt;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Maps the priorities of routes and customers to the urgency levels of engines: requests are ordered by the priority of
 * the route, then by that of the customer.
 *
 * <p>Engines queue requests by urgency and preempt the least urgent ones when they run out of memory. If only the
 * customer's priority counted, interactive responses would be queued and preempted like long drafts: of 163 requests
 * preempted in a day, 65 were of more urgent routes than others that continued. If the customer's priority came first,
 * the long drafts of one customer would preempt the interactive responses of all others: 32 in a burst of a few
 * seconds.
 */
final class UrgencyLevels {
    /** Engines distinguish ten levels, 0 being the most urgent. */
    private static final int MAX_LEVELS = 10;

    /** Number of keys of customers with each priority. */
    private final NavigableMap<Integer, Integer> customerPriorities = new TreeMap<>();

    private final NavigableSet<Integer> routePriorities = new TreeSet<>();

    void addRoute(Route route) {
        routePriorities.add(route.priority());
    }

    /** Adds a key of a customer. Customers without keys send no requests, so that their priorities need no level. */
    void addCustomerKey(Customer customer) {
        customer.priority().ifPresent(priority -> customerPriorities.merge(priority, 1, Integer::sum));
    }

    void removeCustomerKey(Customer customer) {
        customer.priority()
                .ifPresent(priority ->
                        customerPriorities.computeIfPresent(priority, (key, count) -> count == 1 ? null : count - 1));
    }

    /**
     * Returns the urgency level of a request. Customers without a priority rank with the least urgent ones.
     *
     * @param route route of the request
     * @param customerPriority priority of the customer that sent the request, if any
     * @return the level, from 0 for the most urgent requests to 9
     */
    int level(Route route, OptionalInt customerPriority) {
        int routeRank = routePriorities.headSet(route.priority()).size();
        int customerRank = customerPriority.isPresent()
                ? customerPriorities.headMap(customerPriority.getAsInt()).size()
                : Math.max(0, customerPriorities.size() - 1);
        int level = routeRank * Math.max(1, customerPriorities.size()) + customerRank;
        int maxLevel = Math.max(1, customerPriorities.size()) * Math.max(1, routePriorities.size()) - 1;
        return maxLevel < MAX_LEVELS ? level : level * (MAX_LEVELS - 1) / maxLevel;
    }
}
