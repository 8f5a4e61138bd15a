package org.dotterelcourse.coordination.order;

import java.util.SortedSet;

/**
 * The desired state of a worker.
 *
 * @param role the role that its engine is to have; empty if roles aren't used
 * @param versions the model versions that are to be loaded
 * @param slots maximum number of model versions that the engine can have loaded at once
 */
public record WorkerGoal(String role, SortedSet<ModelVersion> versions, int slots) {}
