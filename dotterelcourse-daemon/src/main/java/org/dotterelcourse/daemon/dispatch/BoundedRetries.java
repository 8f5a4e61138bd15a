package org.dotterelcourse.daemon.dispatch;

import org.dotterelcourse.daemon.upstream.UpstreamFailure;

/** Tries a request at up to a fixed number of workers, and one that may not run twice only while it has not run. */
public final class BoundedRetries implements RetryPolicy {
    /** One lost worker, and a second that was lost at the same time; a third failure is not bad luck any more. */
    private static final int MAX_ATTEMPTS = 3;

    @Override
    public Decision decide(String upstream, UpstreamFailure failure, boolean idempotent, int attempts) {
        boolean allowed = idempotent || failure.notRun();
        return allowed && attempts < MAX_ATTEMPTS ? new Again() : new GiveUp();
    }

    @Override
    public void succeeded(String upstream) {
        // A fixed bound learns nothing.
    }
}
