package org.dotterelcourse.policy.relay;

/**
 * A peer that may send on requests of this process's clients, as input of a {@link RelaySelector}.
 *
 * @param name name of the peer
 * @param sameDataCentre whether the peer runs in the data centre of this process
 * @param capacityMillicores processor capacity of its VM in thousandths of a core; 0 if unknown
 * @param loadPermille its published load in thousandths of the capacity
 * @param inFlight number of requests that this process has relayed to it and that it has not begun to answer
 */
public record RelayCandidate(
        String name, boolean sameDataCentre, int capacityMillicores, int loadPermille, int inFlight) {}
