package org.dotterelcourse.policy.cell;

/**
 * A worker of the cell, from the published list of workers.
 *
 * @param name name of the worker
 * @param dataCentre name of its data centre
 * @param concurrency maximum number of requests that it runs concurrently
 * @param leaving whether it is shutting down and accepts no new requests
 */
public record WorkerInfo(String name, String dataCentre, int concurrency, boolean leaving) {}
