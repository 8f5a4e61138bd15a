package org.dotterelcourse.daemon.platform;

import reactor.core.publisher.Mono;

/** The platform's configuration service, as far as a daemon may use it: to read and to watch. */
public interface ConfigSource {
    /**
     * The highest number published.
     *
     * @return the number; an error if the service can't be reached or its quota is spent
     */
    Mono<Long> head();

    /**
     * The newest whole document.
     *
     * @return the entry; empty if there is none
     */
    Mono<ConfigEntry> whole();

    /**
     * One published entry.
     *
     * @param number its number
     * @return the entry; empty if there is none
     */
    Mono<ConfigEntry> entry(long number);

    /**
     * Waits for a newer number.
     *
     * @param after the number already known
     * @return the new highest number; empty if none came in time
     */
    Mono<Long> watch(long after);
}
