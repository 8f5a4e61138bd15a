package org.dotterelcourse.daemon.metrics;

import org.dotterelcourse.daemon.dispatch.Outcome;

/** Hears once how a request ended. */
@FunctionalInterface
public interface RequestEndListener {
    /**
     * The request has ended.
     *
     * @param outcome what its caller was told
     * @param outputTokens tokens of the answer that its caller was sent
     */
    void ended(Outcome outcome, int outputTokens);
}
