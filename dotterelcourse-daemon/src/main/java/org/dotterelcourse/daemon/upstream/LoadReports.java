package org.dotterelcourse.daemon.upstream;

import reactor.core.publisher.Mono;

/** Reads engines' load reports. */
public interface LoadReports {
    /**
     * Reads one.
     *
     * @param address the engine's IP number and port
     * @return the report; empty if none can be had
     */
    Mono<LoadReport> read(String address);
}
