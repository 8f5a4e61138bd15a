package org.dotterelcourse.policy.placement;

import org.dotterelcourse.policy.cell.CellRequest;

/**
 * A request to be placed on a worker, with the estimates that placement needs.
 *
 * @param cellRequest the request as the cell received it
 * @param prefillWork estimated cost of processing the prompt, in units of one output token
 * @param expectedOutputTokens expected number of output tokens that are still to be generated
 * @param isLong whether the request counts towards a worker's limit on long requests
 */
public record PlacementRequest(
        CellRequest cellRequest, double prefillWork, double expectedOutputTokens, boolean isLong) {}
