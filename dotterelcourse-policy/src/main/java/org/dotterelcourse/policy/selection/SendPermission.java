package org.dotterelcourse.policy.selection;

/** Whether this process may send requests to a worker, considering what the worker has stated about itself. */
public enum SendPermission {
    /** No rate limit applies. */
    UNLIMITED,
    /** The worker is subject to a fleet-wide rate limit, and this process may send it the next request. */
    RATE_LIMITED,
    /** The worker is subject to a fleet-wide rate limit, and this process may send it nothing for now. */
    DENIED,
    /** The worker has asked this process to send it nothing for a time, and no other worker should fetch from it. */
    BACKING_OFF;

    /**
     * Returns whether this process may send the worker a request.
     *
     * @return false for {@link #DENIED} and {@link #BACKING_OFF}
     */
    public boolean allowsSending() {
        return this == UNLIMITED || this == RATE_LIMITED;
    }
}
