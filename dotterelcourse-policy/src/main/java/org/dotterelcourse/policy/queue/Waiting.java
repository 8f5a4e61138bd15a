package org.dotterelcourse.policy.queue;

import org.dotterelcourse.policy.cell.Ask;

/**
 * A request that waits.
 *
 * @param ask the request
 * @param work its estimated work, in output tokens
 * @param expectedOutput how many of these are expected to be answer tokens
 * @param sequence its place among all that have entered, which settles ties
 */
public record Waiting(Ask ask, double work, double expectedOutput, long sequence) {}
