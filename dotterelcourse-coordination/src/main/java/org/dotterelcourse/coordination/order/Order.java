package org.dotterelcourse.coordination.order;

/**
 * An order to the engine of one worker.
 *
 * @param worker the worker's name
 * @param fence the fencing token, by which an engine rejects outdated orders
 * @param action the change that the engine is to make
 */
public record Order(String worker, Fence fence, OrderAction action) {}
