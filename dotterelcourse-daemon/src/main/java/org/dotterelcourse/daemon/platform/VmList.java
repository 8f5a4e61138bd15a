package org.dotterelcourse.daemon.platform;

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
}
