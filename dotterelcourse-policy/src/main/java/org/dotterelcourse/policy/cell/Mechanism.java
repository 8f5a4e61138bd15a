package org.dotterelcourse.policy.cell;

/** The mechanisms of {@link TieredScheduler} that can be switched off one by one, to measure what each is worth. */
public enum Mechanism {
    /** Higher tiers are served and kept before lower ones. */
    TIERS,
    /** A class that waits gets its minimum share of the work whatever its tier. */
    MINIMUM_SHARE,
    /** Customers of a class share it by deficit round robin, and the one with most waiting is shed first. */
    CUSTOMER_FAIRNESS,
    /** What has missed its target steps behind what can still meet it. */
    LATE_LAST,
    /** What can't meet its target, and is useless late, is refused before it costs anything. */
    EARLY_REFUSAL,
    /** Lengths of answers are learned from those seen. */
    LEARNED_ESTIMATES,
    /** Long jobs may hold only a part of a worker. */
    LONG_JOB_CAP,
    /** Requests with the same prompt prefix go to the same worker while it isn't too busy. */
    PREFIX_AFFINITY,
    /** A worker that is slower than the cell gets less work. */
    STRAGGLER_WEIGHT,
    /** A worker that fails or crawls gets no work but probes. */
    EJECTION,
    /** Load reports take away room that others use. */
    LOAD_REPORTS,
    /** A running lower-tier request makes way for a higher-tier one that would miss its target. */
    PREEMPTION
}
