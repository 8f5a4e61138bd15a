package org.dotterelcourse.daemon.upstream;

import reactor.core.publisher.Flux;

/** Client of the model engines for chat completions; orders are sent through {@link EngineControl}. */
public interface Engine {
    /**
     * Sends a chat completion and streams the answer. Cancelling the subscription closes the connection, which makes
     * the engine cancel the request.
     *
     * @param call the worker's address and the request
     * @return the events of the answer. The request is sent on subscription. The last event is always {@link
     *     EngineEvent.Finished} or {@link EngineEvent.Failed}; the stream never ends with an error
     */
    Flux<EngineEvent> stream(EngineCall call);
}
