package org.dotterelcourse.daemon.edge;

import org.dotterelcourse.daemon.dispatch.Failure;
import org.dotterelcourse.daemon.metrics.RequestMetrics;
import reactor.core.publisher.Mono;

/** Tells callers that their request was refused, and leaves a trace of each refusal in metrics and log. */
final class Refuser {
    private final RequestMetrics metrics;

    Refuser(RequestMetrics metrics) {
        this.metrics = metrics;
    }

    /** Refuses a request whose customer or class isn't known. */
    Mono<Void> refuse(Exchange exchange, Failure failure) {
        return refuse(exchange, "", "", failure);
    }

    /** Refuses a request of a customer in a class. */
    Mono<Void> refuse(Exchange exchange, String customer, String requestClass, Failure failure) {
        metrics.refused(exchange.id(), customer, requestClass, failure);
        return Replies.problem(exchange.response(), failure, exchange.id());
    }
}
