package org.dotterelcourse.policy.cell;

/** Why a request was refused. */
public enum RefusalReason {
    /** The class has as many requests waiting as it may. */
    CLASS_FULL,
    /** The cell's queue is full, and every other waiting request has a higher or equal tier. */
    CELL_FULL,
    /** The target can't be met any more, and the class says that late is useless. */
    TOO_LATE,
    /** No worker serves it. */
    NO_WORKER
}
