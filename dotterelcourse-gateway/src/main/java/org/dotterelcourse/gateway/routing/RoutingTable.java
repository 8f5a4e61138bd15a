package org.dotterelcourse.gateway.routing;

import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;

import org.dotterelcourse.policy.cold.ColdStart;

/**
 * The routes, upstreams, customers and limits of one published configuration. Immutable; of two tables, the one with
 * the higher number is newer.
 */
public final class RoutingTable {
    private final long number;
    private final RouteIndex routes;
    private final Map<String, UpstreamSpec> upstreams;
    private final Map<String, Customer> customersByKey;
    private final UrgencyLevels urgencyLevels;
    private final boolean requiresKey;
    private final RequestLimits limits;
    private final long longestTimeoutMillis;

    private RoutingTable(Builder builder) {
        number = builder.number;
        routes = builder.routes;
        upstreams = builder.upstreams;
        customersByKey = builder.customersByKey;
        urgencyLevels = builder.urgencyLevels;
        requiresKey = builder.requiresKey;
        limits = builder.limits;
        longestTimeoutMillis = builder.longestTimeoutMillis;
    }

    /**
     * Creates a builder.
     *
     * @param number sequence number under which the configuration was published
     * @return the builder, without routes, upstreams and customers
     */
    public static Builder builder(long number) {
        return new Builder(number);
    }

    /**
     * Returns the sequence number of this configuration.
     *
     * @return a number that increases with each publication
     */
    public long number() {
        return number;
    }

    /**
     * Returns the limits on requests.
     *
     * @return the limits, which apply to all routes
     */
    public RequestLimits limits() {
        return limits;
    }

    /**
     * Returns the longest time limit of all routes.
     *
     * @return the time in milliseconds; 0 if there are no routes
     */
    public long longestTimeoutMillis() {
        return longestTimeoutMillis;
    }

    /**
     * Finds the route for a request: among the routes for its host, the one with the longest matching path prefix.
     *
     * @param hostHeader value of the Host header, with or without a port
     * @param path path of the request, without the query
     * @return the route; empty if none matches
     */
    public Optional<Route> route(String hostHeader, String path) {
        return routes.find(normalizeHost(hostHeader), path);
    }

    /**
     * Returns the configuration of an upstream.
     *
     * @param name name of the upstream
     * @return its configuration; that of a plain service without a limit for cold workers if none was published
     */
    public UpstreamSpec upstream(String name) {
        return upstreams.getOrDefault(name, UpstreamSpec.plain(name, ColdStart.none()));
    }

    /**
     * Returns whether an upstream was published.
     *
     * @param name name of the upstream
     * @return true if this configuration contains it
     */
    public boolean hasUpstream(String name) {
        return upstreams.containsKey(name);
    }

    /**
     * Returns whether requests need a customer's API key, except on anonymous routes.
     *
     * @return true if customers were published, or if keys are required anyway
     */
    public boolean requiresKey() {
        return requiresKey;
    }

    /**
     * Finds the customer that an API key belongs to.
     *
     * @param key the key, as sent by the client
     * @return the customer; empty if the key is unknown
     */
    public Optional<Customer> customer(String key) {
        return Optional.ofNullable(customersByKey.get(key));
    }

    /**
     * Returns the urgency level of a request, derived from the priority of its route, then from that of its customer.
     *
     * @param route route of the request
     * @param customer customer that sent the request; empty on anonymous routes
     * @return the level, from 0 for the most urgent requests to 9
     */
    public int urgency(Route route, Optional<Customer> customer) {
        return urgencyLevels.level(route, customer.map(Customer::priority).orElse(OptionalInt.empty()));
    }

    /**
     * Normalizes a host name.
     *
     * @param header value of a Host header
     * @return the host in lower case, without a port
     */
    public static String normalizeHost(String header) {
        int colon = header.lastIndexOf(':');
        boolean hasPort = colon > header.lastIndexOf(']');
        return (hasPort && colon >= 0 ? header.substring(0, colon) : header).toLowerCase(Locale.ROOT);
    }

    /** Builder for routing tables. */
    public static final class Builder {
        private static final RequestLimits DEFAULT_LIMITS = new RequestLimits(4 << 20);

        private final long number;
        private final RouteIndex routes = new RouteIndex();
        private final Map<String, UpstreamSpec> upstreams = new HashMap<>();
        private final Map<String, Customer> customersByKey = new HashMap<>();
        private final UrgencyLevels urgencyLevels = new UrgencyLevels();
        private boolean requiresKey;
        private RequestLimits limits = DEFAULT_LIMITS;
        private long longestTimeoutMillis;
        private boolean built;

        private Builder(long number) {
            this.number = number;
        }

        /**
         * Adds a route.
         *
         * @param route a route; those for the same host may be added in any order
         * @return this builder
         */
        public Builder route(Route route) {
            checkNotBuilt();
            routes.add(route);
            longestTimeoutMillis = Math.max(longestTimeoutMillis, route.timeoutMillis());
            urgencyLevels.addRoute(route);
            return this;
        }

        /**
         * Adds an upstream.
         *
         * @param upstream configuration of the upstream; replaces an earlier one of the same name
         * @return this builder
         */
        public Builder upstream(UpstreamSpec upstream) {
            checkNotBuilt();
            upstreams.put(upstream.name(), upstream);
            return this;
        }

        /**
         * Adds a customer.
         *
         * @param customer the customer
         * @param keys its API keys
         * @return this builder
         */
        public Builder customer(Customer customer, List<String> keys) {
            checkNotBuilt();
            requiresKey = true;
            for (String key : keys) {
                Customer replaced = customersByKey.put(key, customer);
                urgencyLevels.addCustomerKey(customer);
                if (replaced != null) {
                    urgencyLevels.removeCustomerKey(replaced);
                }
            }
            return this;
        }

        /**
         * Requires API keys even if no customer is added.
         *
         * @return this builder
         */
        public Builder requireKeys() {
            requiresKey = true;
            return this;
        }

        /**
         * Sets the limits on requests. The default is a body of 4 MiB.
         *
         * @param value limits for all routes
         * @return this builder
         */
        public Builder limits(RequestLimits value) {
            limits = value;
            return this;
        }

        /**
         * Builds the table in constant time, so that a large one can be put together in several steps. Nothing can be
         * added afterwards.
         *
         * @return an immutable table with everything added so far
         * @throws IllegalStateException if the table has been built already
         */
        public RoutingTable build() {
            checkNotBuilt();
            built = true;
            return new RoutingTable(this);
        }

        private void checkNotBuilt() {
            if (built) {
                throw new IllegalStateException("the routing table has been built already");
            }
        }
    }
}
