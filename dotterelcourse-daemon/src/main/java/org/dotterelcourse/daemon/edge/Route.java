package org.dotterelcourse.daemon.edge;

import reactor.core.publisher.Mono;

/** Handles the requests of one API path. */
interface Route {
    /**
     * Handles a request and sends the response, also if the request is refused or fails.
     *
     * @param exchange the request and its response
     * @return completes when the response has been sent
     */
    Mono<Void> handle(Exchange exchange);
}
