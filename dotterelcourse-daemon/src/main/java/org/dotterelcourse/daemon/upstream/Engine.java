package org.dotterelcourse.daemon.upstream;

import reactor.core.publisher.Flux;

/** A model engine, as far as requests go. */
public interface Engine {
    /**
     * Sends a chat completion and streams the answer. Cancelling closes the connection, which cancels the work.
     *
     * @param call what to send and where
     * @return the answer's events; nothing is sent before the subscription, and the last event tells how it ended
     */
    Flux<EngineEvent> stream(EngineCall call);
}
