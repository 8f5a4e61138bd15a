package org.dotterelcourse.gateway.routing;

/**
 * An upstream.
 *
 * @param name its name
 * @param engine whether its workers are model engines
 * @param tokensPerEvent how many tokens an engine puts into one event, 0 for plain services
 */
public record UpstreamSpec(String name, boolean engine, int tokensPerEvent) {}
