package org.dotterelcourse.daemon.dispatch;

import org.dotterelcourse.policy.cell.RefusalReason;

/** How an ask ended. */
public sealed interface GrantResult {
    /**
     * The request may be sent.
     *
     * @param grant the leave to do so; must be released
     */
    record Granted(Grant grant) implements GrantResult {}

    /**
     * The request will not be run.
     *
     * @param reason why
     * @param retryAfterNanos when it is worth asking again, from now
     */
    record Refused(RefusalReason reason, long retryAfterNanos) implements GrantResult {}
}
