package org.dotterelcourse.coordination.order;

import java.util.Map;
import java.util.SortedMap;

/**
 * The desired state of the workers of a cell, derived from a configuration.
 *
 * @param number number of the configuration
 * @param workers the desired state of each worker, by worker name
 * @param minServing for each model name, the minimum number of workers that must have some version of it loaded while
 *     others are changed; a model that isn't listed has no minimum
 * @param checksFences whether the upstream's engines reject an order with a lower fencing token than they have seen
 */
public record CellGoal(
        long number, SortedMap<String, WorkerGoal> workers, Map<String, Integer> minServing, boolean checksFences) {}
