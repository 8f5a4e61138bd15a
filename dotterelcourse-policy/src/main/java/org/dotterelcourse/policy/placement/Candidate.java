package org.dotterelcourse.policy.placement;

import org.dotterelcourse.policy.cell.CellRequest;

/**
 * A request that looks for a worker.
 *
 * @param ask the request
 * @param prefillWork the work of its prompt, in output tokens
 * @param expectedOutput tokens that its answer is expected to have
 * @param isLong whether it counts against the room for long requests
 */
public record Candidate(CellRequest ask, double prefillWork, double expectedOutput, boolean isLong) {}
