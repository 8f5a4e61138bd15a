package org.dotterelcourse.daemon.platform;

import reactor.core.publisher.Mono;

/** Read-only client of the platform's configuration service. */
public interface ConfigSource {
    /**
     * Reads the highest published version number.
     *
     * @return the number; an error if the service is unreachable or its request quota is exhausted
     */
    Mono<Long> head();

    /**
     * Reads the newest whole document.
     *
     * @return the entry; empty if it does not exist
     */
    Mono<ConfigEntry> whole();

    /**
     * Reads one published entry.
     *
     * @param number version number of the entry
     * @return the entry; empty if it does not exist
     */
    Mono<ConfigEntry> entry(long number);

    /**
     * Waits until a higher version number is published (long polling).
     *
     * @param after the highest version number that the caller has seen
     * @return the new highest number; empty if the service ends the wait without one; an error if the request fails
     */
    Mono<Long> watch(long after);
}
