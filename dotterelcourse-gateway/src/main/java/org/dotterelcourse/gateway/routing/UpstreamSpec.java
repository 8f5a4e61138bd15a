package org.dotterelcourse.gateway.routing;

import org.dotterelcourse.policy.selection.Transfer;

/**
 * An upstream.
 *
 * @param name its name
 * @param engine whether its workers are model engines
 * @param tokensPerEvent how many tokens an engine puts into one event, 0 for plain services
 * @param transfer what it takes an engine to fetch parts of prompts from another one
 */
public record UpstreamSpec(String name, boolean engine, int tokensPerEvent, Transfer transfer) {}
