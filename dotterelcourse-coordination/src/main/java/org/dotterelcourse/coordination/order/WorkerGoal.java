package org.dotterelcourse.coordination.order;

import java.util.SortedSet;

/**
 * What a worker is to have.
 *
 * @param role its role; empty if roles aren't used
 * @param versions the model versions to be loaded
 * @param slots how many versions fit at once
 */
public record WorkerGoal(String role, SortedSet<ModelVersion> versions, int slots) {}
