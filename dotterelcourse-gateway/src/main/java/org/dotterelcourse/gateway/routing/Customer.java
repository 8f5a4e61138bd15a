package org.dotterelcourse.gateway.routing;

import java.util.OptionalInt;

/**
 * Who sends requests under a set of keys.
 *
 * @param name its name
 * @param priority urgency of its requests, 0 the highest; it orders those of routes with the same priority
 */
public record Customer(String name, OptionalInt priority) {}
