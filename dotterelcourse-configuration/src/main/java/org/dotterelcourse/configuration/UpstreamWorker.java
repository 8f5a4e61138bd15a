package org.dotterelcourse.configuration;

/**
 * A worker and the upstream that it belongs to, as defined by a {@code [worker NAME]} section.
 *
 * @param upstream the name of the upstream
 * @param worker the worker
 */
record UpstreamWorker(String upstream, Worker worker) {}
