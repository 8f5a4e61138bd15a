package org.dotterelcourse.daemon.platform;

import java.time.Duration;
import java.util.List;

import reactor.core.publisher.Mono;

/** Client of the platform's list of VMs. The list lags behind the actual state of the VMs. */
public interface VmList {
    /**
     * Reads the list.
     *
     * @return all listed VMs; an error if the list can't be read or parsed
     */
    Mono<List<Vm>> read();

    /**
     * Returns the polling interval of the list.
     *
     * @return time between two reads; kept short because a leaving upstream must get no new work after a few seconds,
     *     and the lag of the list itself uses up most of that time
     */
    default Duration period() {
        return Duration.ofMillis(500);
    }
}
