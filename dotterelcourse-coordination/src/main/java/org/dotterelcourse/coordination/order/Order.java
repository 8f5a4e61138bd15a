package org.dotterelcourse.coordination.order;

/**
 * One order to one engine.
 *
 * @param worker the worker's name
 * @param fence its fencing number
 * @param action what to do
 */
public record Order(String worker, Fence fence, OrderAction action) {}
