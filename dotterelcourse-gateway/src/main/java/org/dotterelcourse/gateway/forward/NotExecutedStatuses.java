package org.dotterelcourse.gateway.forward;

import java.util.Set;

/** Statuses by which a client concludes that its request was not executed and will not be. */
final class NotExecutedStatuses {
    /** Request timeout, misdirected request, too many requests, service unavailable: RFC 9110, RFC 6585. */
    private static final Set<Integer> STATUSES = Set.of(408, 421, 429, 503);

    private NotExecutedStatuses() {}

    /**
     * Returns whether a status states that the request was not executed.
     *
     * @param status the HTTP status code
     * @return true if the status must not be sent for a request that may have been executed
     */
    static boolean contains(int status) {
        return STATUSES.contains(status);
    }
}
