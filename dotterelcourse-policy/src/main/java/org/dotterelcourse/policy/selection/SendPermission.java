package org.dotterelcourse.policy.selection;

/** Whether a worker takes requests of this process. */
public enum SendPermission {
    /** It takes whatever it has room for. */
    UNLIMITED,
    /** It takes only so many from the whole fleet, and may get this request. */
    RATE_LIMITED,
    /** It takes only so many, and may get nothing more from this process for now. */
    DENIED
}
