package org.dotterelcourse.policy.selection;

import java.util.Optional;

/** Where a prompt should go. */
public sealed interface SelectionResult {
    /**
     * To an engine.
     *
     * @param id its name
     * @param cachedTokens how much of the prompt it need not read
     * @param source the engine from which it should fetch parts that it has not read itself; empty if there is none
     */
    record Selected(String id, int cachedTokens, Optional<String> fetchSource) implements SelectionResult {}

    /** Nowhere yet: each engine that it may go to has as many streams under way as it can serve in time. */
    record NoCapacity() implements SelectionResult {}

    /** Nowhere: there is no engine. */
    record NoEngine() implements SelectionResult {}
}
