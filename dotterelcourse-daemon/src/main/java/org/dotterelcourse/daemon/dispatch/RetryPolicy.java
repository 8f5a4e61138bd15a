package org.dotterelcourse.daemon.dispatch;

import org.dotterelcourse.daemon.upstream.UpstreamFailure;

/** Decides whether a request that failed at one worker is tried at another. */
public interface RetryPolicy {
    /** What to do now. */
    sealed interface Decision {}

    /** Ask for another worker. */
    record Again() implements Decision {}

    /** Tell the caller. */
    record GiveUp() implements Decision {}

    /**
     * Decides.
     *
     * @param upstream the upstream's name
     * @param failure what happened
     * @param idempotent whether the request may run more than once
     * @param attempts how many workers have failed it, this one included
     * @return what to do
     */
    Decision decide(String upstream, UpstreamFailure failure, boolean idempotent, int attempts);

    /**
     * A request was answered.
     *
     * @param upstream the upstream's name
     */
    void succeeded(String upstream);
}
