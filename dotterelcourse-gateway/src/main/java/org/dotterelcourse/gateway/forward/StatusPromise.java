package org.dotterelcourse.gateway.forward;

import java.util.Set;

/** Which statuses tell a client that its request has not run and never will. */
final class StatusPromise {
    /** Request timeout, misdirected request, too many requests, service unavailable: RFC 9110, RFC 6585. */
    private static final Set<Integer> NOT_RUN = Set.of(408, 421, 429, 503);

    private StatusPromise() {}

    /**
     * Whether a status makes that promise.
     *
     * @param status the status
     * @return true if it must not be sent for a request that may have run
     */
    static boolean notRun(int status) {
        return NOT_RUN.contains(status);
    }
}
