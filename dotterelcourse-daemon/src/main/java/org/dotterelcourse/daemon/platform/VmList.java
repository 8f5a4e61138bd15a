package org.dotterelcourse.daemon.platform;

import java.time.Duration;
import java.util.List;

import reactor.core.publisher.Mono;

/** The platform's list of VMs. It lags behind the truth. */
public interface VmList {
    /**
     * Reads the list.
     *
     * @return all VMs it names; an error if it can't be read
     */
    Mono<List<Vm>> read();

    /**
     * How often to read it.
     *
     * @return time between two reads: a leaving upstream must get no new work after a few seconds, of which the list's own
     *     lag takes the rest
     */
    default Duration period() {
        return Duration.ofMillis(500);
    }
}
