package org.dotterelcourse.gateway.routing;

import org.dotterelcourse.policy.cold.ColdStart;
import org.dotterelcourse.policy.selection.TransferCost;

/**
 * An upstream.
 *
 * @param name its name
 * @param engine whether its workers are model engines
 * @param tokensPerEvent how many tokens an engine puts into one event, 0 for plain services
 * @param transfer what it takes an engine to fetch parts of prompts from another one
 * @param coldStart what its workers bear while they are cold
 */
public record UpstreamSpec(
        String name, boolean engine, int tokensPerEvent, TransferCost transfer, ColdStart coldStart) {
    /**
     * An upstream of plain services.
     *
     * @param name its name
     * @param coldStart what its workers bear while they are cold
     * @return the upstream
     */
    public static UpstreamSpec plain(String name, ColdStart coldStart) {
        return new UpstreamSpec(name, false, 0, TransferCost.unsupported(), coldStart);
    }
}
