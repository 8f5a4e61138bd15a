package org.dotterelcourse.policy.distribution;

/**
 * A process that serves clients, as input of a {@link ClientDistribution}.
 *
 * @param address IP address and port for clients, separated by a colon
 * @param capacityMillicores processor capacity of its VM in thousandths of a core; 0 if unknown
 * @param loadPermille its load in thousandths of the capacity
 * @param warming whether it has started so recently that its code still runs slowly
 */
public record ServingMember(String address, int capacityMillicores, int loadPermille, boolean warming) {}
