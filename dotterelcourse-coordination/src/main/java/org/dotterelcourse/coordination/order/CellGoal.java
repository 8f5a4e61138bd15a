package org.dotterelcourse.coordination.order;

import java.util.Map;
import java.util.SortedMap;

/**
 * What the workers of a cell are to have, as a configuration says.
 *
 * @param number the configuration's number
 * @param workers each worker's goal by its name
 * @param minServing for each model, how many workers must have some version of it loaded while others are changed; a
 *     model that isn't listed needs none
 * @param checksFences whether the upstream's engines refuse an order with a lower fencing number
 */
public record CellGoal(
        long number, SortedMap<String, WorkerGoal> workers, Map<String, Integer> minServing, boolean checksFences) {}
