package org.dotterelcourse.policy.selection;

/** Whether a worker is cold, that is, slow because it has just started, and may get a request nevertheless. */
public enum ColdState {
    /** It is not cold. */
    WARM,
    /** It is cold and may get this request. */
    COLD,
    /** It is cold and may get nothing more from this process for now. */
    CLOSED
}
