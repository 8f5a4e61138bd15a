package org.dotterelcourse.daemon.upstream;

import reactor.core.publisher.Mono;

/** Source of the engines' load reports. */
public interface LoadReports {
    /**
     * Reads the current load report of an engine.
     *
     * @param address the engine's address as {@code IP:port}
     * @return the report; empty if the engine does not answer in time or the answer is invalid
     */
    Mono<LoadReport> read(String address);
}
