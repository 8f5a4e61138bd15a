package org.dotterelcourse.gateway.routing;

import org.dotterelcourse.policy.cold.ColdStart;
import org.dotterelcourse.policy.selection.TransferCost;

/**
 * The published configuration of an upstream.
 *
 * @param name its name
 * @param engine whether its workers are inference engines for language models
 * @param tokensPerEvent number of tokens that an engine sends in one event, 0 for plain services
 * @param transfer cost for an engine to fetch cached parts of prompts from another engine
 * @param coldStart request rate limit of its workers while they are cold
 */
public record UpstreamSpec(
        String name, boolean engine, int tokensPerEvent, TransferCost transfer, ColdStart coldStart) {
    /**
     * Creates the configuration of an upstream whose workers are plain services.
     *
     * @param name its name
     * @param coldStart request rate limit of its workers while they are cold
     * @return the configuration
     */
    public static UpstreamSpec plain(String name, ColdStart coldStart) {
        return new UpstreamSpec(name, false, 0, TransferCost.unsupported(), coldStart);
    }
}
