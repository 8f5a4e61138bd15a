package org.dotterelcourse.policy.cell;

/** Why a request was rejected. */
public enum RefusalReason {
    /** The class has reached its maximum number of queued requests. */
    CLASS_FULL,
    /** The queue of the cell is full, and every other queued request has the same or a higher tier. */
    CELL_FULL,
    /** The target can no longer be met, and late answers are useless to the class. */
    TOO_LATE,
    /** No worker can serve the request. */
    NO_WORKER
}
