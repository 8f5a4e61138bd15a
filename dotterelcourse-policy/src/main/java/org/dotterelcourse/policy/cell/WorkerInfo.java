package org.dotterelcourse.policy.cell;

/**
 * A worker of the cell, from published facts.
 *
 * @param name the worker's name
 * @param dataCentre its data centre
 * @param concurrency how many requests it may run at once
 * @param leaving whether it takes no new work
 */
public record WorkerInfo(String name, String dataCentre, int concurrency, boolean leaving) {}
