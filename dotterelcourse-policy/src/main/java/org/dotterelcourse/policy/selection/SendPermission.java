package org.dotterelcourse.policy.selection;

/** Whether this process may send requests to a worker, considering rate limits that the whole fleet shares. */
public enum SendPermission {
    /** No rate limit applies. */
    UNLIMITED,
    /** The worker is subject to a fleet-wide rate limit, and this process may send it the next request. */
    RATE_LIMITED,
    /** The worker is subject to a fleet-wide rate limit, and this process may send it nothing for now. */
    DENIED
}
