package org.dotterelcourse.policy.selection;

import java.util.Optional;

/** Result of selecting an engine for a prompt. */
public sealed interface SelectionResult {
    /**
     * An engine was selected.
     *
     * @param id id of the selected engine
     * @param cachedTokens prompt tokens that the engine need not read, because it has them in its cache or fetches them
     * @param fetchSource id of the engine to fetch cached parts from; empty if the selected engine fetches nothing
     */
    record Selected(String id, int cachedTokens, Optional<String> fetchSource) implements SelectionResult {}

    /**
     * No engine was selected: each eligible engine is at its limit of requests in flight, or this process may not send to it
     * now.
     */
    record NoCapacity() implements SelectionResult {}

    /** No engine was selected: there are no engines. */
    record NoEngine() implements SelectionResult {}
}
