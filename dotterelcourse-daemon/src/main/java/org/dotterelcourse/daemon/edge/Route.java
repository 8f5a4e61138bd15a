package org.dotterelcourse.daemon.edge;

import reactor.core.publisher.Mono;

/** Answers one kind of request. */
interface Route {
    /**
     * Answers.
     *
     * @param exchange the request and its response
     * @return completes when the response has been sent
     */
    Mono<Void> handle(Exchange exchange);
}
