package org.dotterelcourse.configuration;

/**
 * A worker together with the upstream that it belongs to.
 *
 * @param upstream the upstream's name
 * @param worker the worker
 */
record PlacedWorker(String upstream, Worker worker) {}
