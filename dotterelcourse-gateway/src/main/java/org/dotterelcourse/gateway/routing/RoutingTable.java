package org.dotterelcourse.gateway.routing;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;

import org.dotterelcourse.policy.cold.ColdStart;

/** One published configuration. Immutable; of two tables the one with the higher number is the newer. */
public final class RoutingTable {
    private final long number;
    private final Map<String, List<Route>> routesByHost = new HashMap<>();
    private final Map<String, UpstreamSpec> upstreams = new HashMap<>();
    private final Map<String, Customer> customersByKey;
    private final UrgencyLevels urgency;
    private final boolean requiresKey;
    private final RequestLimits limits;

    private RoutingTable(Builder builder) {
        number = builder.number;
        for (Route route : builder.routes) {
            routesByHost
                    .computeIfAbsent(route.host(), host -> new ArrayList<>())
                    .add(route);
        }
        Comparator<Route> longestFirst = Comparator.comparingInt(
                        (Route route) -> route.pathPrefix().length())
                .reversed();
        routesByHost.values().forEach(routes -> routes.sort(longestFirst));
        builder.upstreams.forEach(upstream -> upstreams.put(upstream.name(), upstream));
        customersByKey = Map.copyOf(builder.customersByKey);
        urgency = new UrgencyLevels(builder.routes, builder.customersByKey.values());
        requiresKey = builder.requiresKey;
        limits = builder.limits;
    }

    /**
     * Starts a table.
     *
     * @param number its number
     * @return a builder
     */
    public static Builder builder(long number) {
        return new Builder(number);
    }

    /**
     * The number that the table was published under.
     *
     * @return rises with each publication
     */
    public long number() {
        return number;
    }

    /**
     * Bounds on requests.
     *
     * @return the limits
     */
    public RequestLimits limits() {
        return limits;
    }

    /**
     * Finds the route for a request: of those of its host, the one with the longest prefix of its path.
     *
     * @param hostHeader the host as the client sent it, with or without a port
     * @param path the path without its query
     * @return the route; empty if there is none
     */
    public Optional<Route> route(String hostHeader, String path) {
        List<Route> routes = routesByHost.getOrDefault(normalizeHost(hostHeader), List.of());
        return routes.stream()
                .filter(route -> path.startsWith(route.pathPrefix()))
                .findFirst();
    }

    /**
     * Finds an upstream.
     *
     * @param name its name
     * @return the upstream; a plain service if nothing was published of it
     */
    public UpstreamSpec upstream(String name) {
        return upstreams.getOrDefault(name, UpstreamSpec.plain(name, ColdStart.none()));
    }

    /**
     * Whether an upstream was published.
     *
     * @param name its name
     * @return true if it was
     */
    public boolean hasUpstream(String name) {
        return upstreams.containsKey(name);
    }

    /**
     * Whether requests need a customer's key, but on anonymous routes.
     *
     * @return true if customers were published
     */
    public boolean requiresKey() {
        return requiresKey;
    }

    /**
     * Finds the customer that holds a key.
     *
     * @param key the key
     * @return the customer; empty if nobody holds the key
     */
    public Optional<Customer> customer(String key) {
        return Optional.ofNullable(customersByKey.get(key));
    }

    /**
     * How urgent a request is among all others: by its route's priority first, then by its customer's.
     *
     * @param route its route
     * @param customer whose it is
     * @return 0, the most urgent, to 9
     */
    public int urgency(Route route, Optional<Customer> customer) {
        return urgency.of(route, customer.map(Customer::priority).orElse(OptionalInt.empty()));
    }

    /**
     * Normalizes a host name.
     *
     * @param header the host as a client sends it
     * @return lower case, without a port
     */
    public static String normalizeHost(String header) {
        int colon = header.lastIndexOf(':');
        boolean port = colon > header.lastIndexOf(']');
        return (port && colon >= 0 ? header.substring(0, colon) : header).toLowerCase(Locale.ROOT);
    }

    /** Builds a table. */
    public static final class Builder {
        private static final RequestLimits DEFAULT_LIMITS = new RequestLimits(4 << 20);

        private final long number;
        private final List<Route> routes = new ArrayList<>();
        private final List<UpstreamSpec> upstreams = new ArrayList<>();
        private final Map<String, Customer> customersByKey = new HashMap<>();
        private boolean requiresKey;
        private RequestLimits limits = DEFAULT_LIMITS;

        private Builder(long number) {
            this.number = number;
        }

        /**
         * Adds a route.
         *
         * @param route the route
         * @return this builder
         */
        public Builder route(Route route) {
            routes.add(route);
            return this;
        }

        /**
         * Adds an upstream.
         *
         * @param upstream the upstream
         * @return this builder
         */
        public Builder upstream(UpstreamSpec upstream) {
            upstreams.add(upstream);
            return this;
        }

        /**
         * Adds a customer.
         *
         * @param customer the customer
         * @param keys the keys that it holds
         * @return this builder
         */
        public Builder customer(Customer customer, List<String> keys) {
            requiresKey = true;
            keys.forEach(key -> customersByKey.put(key, customer));
            return this;
        }

        /**
         * Requires keys also while no customer holds any.
         *
         * @return this builder
         */
        public Builder requireKeys() {
            requiresKey = true;
            return this;
        }

        /**
         * Sets the bounds on requests.
         *
         * @param value the limits
         * @return this builder
         */
        public Builder limits(RequestLimits value) {
            limits = value;
            return this;
        }

        /**
         * Ends the building.
         *
         * @return the table
         */
        public RoutingTable build() {
            return new RoutingTable(this);
        }
    }
}
