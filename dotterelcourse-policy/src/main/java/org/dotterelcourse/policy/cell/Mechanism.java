package org.dotterelcourse.policy.cell;

/** The mechanisms of {@link TieredScheduler} that can be disabled one by one, to measure the effect of each. */
public enum Mechanism {
    /** Requests of higher tiers are granted first, and shed last. */
    TIERS,
    /** A class with waiting requests receives its minimum share of the work, whatever its tier. */
    MINIMUM_SHARE,
    /** The customers of a class share it by deficit round robin; the customer with the longest queue is shed first. */
    CUSTOMER_FAIRNESS,
    /** Requests that have missed their target are served after those that can still meet it. */
    LATE_LAST,
    /** Requests that cannot meet their target, and are useless when late, are rejected before they use resources. */
    EARLY_REFUSAL,
    /** Answer lengths are estimated from those observed. */
    LEARNED_ESTIMATES,
    /** Long jobs may occupy only a part of each worker. */
    LONG_JOB_CAP,
    /** Requests with the same prompt prefix go to the same worker unless it is too busy. */
    PREFIX_AFFINITY,
    /** A worker that is slower than the rest of the cell gets less work. */
    STRAGGLER_WEIGHT,
    /** A worker that fails or is extremely slow gets no work except probes. */
    EJECTION,
    /** The free capacity of a worker is reduced by the load that others put on it, according to its load reports. */
    LOAD_REPORTS,
    /** A running request of a lower tier is stopped for one of a higher tier that would miss its target. */
    PREEMPTION
}
