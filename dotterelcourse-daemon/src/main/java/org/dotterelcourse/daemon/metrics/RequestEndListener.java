package org.dotterelcourse.daemon.metrics;

import org.dotterelcourse.daemon.dispatch.Outcome;

/** Is notified once when a request has ended. */
@FunctionalInterface
public interface RequestEndListener {
    /**
     * Called when the request has ended.
     *
     * @param outcome the outcome reported to the caller
     * @param outputTokens number of output tokens sent to the caller
     */
    void ended(Outcome outcome, int outputTokens);
}
