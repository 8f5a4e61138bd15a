package org.dotterelcourse.gateway.routing;

import java.util.OptionalInt;

/**
 * A customer, who authenticates requests with one of its API keys.
 *
 * @param name its name
 * @param priority urgency of its requests among those of routes with the same priority, 0 the highest; if empty, they
 *     rank with the least urgent ones
 */
public record Customer(String name, OptionalInt priority) {}
