package org.dotterelcourse.daemon.edge;

import java.util.function.Function;

import org.dotterelcourse.daemon.dispatch.Failure;
import org.dotterelcourse.daemon.metrics.RequestEndListener;
import org.dotterelcourse.daemon.metrics.RequestMetrics;
import reactor.core.publisher.Mono;

/** Tells callers that their request was refused, and leaves a trace of each refusal in metrics and log. */
final class Refuser {
    private final RequestMetrics metrics;

    Refuser(RequestMetrics metrics) {
        this.metrics = metrics;
    }

    /** Goes on with what a request says rightly; refuses it, of a customer or class not yet known, for what it says wrongly. */
    <T> Mono<Void> orRefuse(Exchange exchange, Parsed<T> parsed, Function<T, Mono<Void>> next) {
        if (parsed instanceof Parsed.Wrong<T> wrong) {
            return refuse(exchange, "", "", wrong.failure());
        }
        return next.apply(((Parsed.Right<T>) parsed).value());
    }

    /** Goes on with a request that was admitted, or refuses it. */
    Mono<Void> orRefuse(
            Exchange exchange,
            String customer,
            String requestClass,
            EntryGate.Entry entry,
            Function<RequestEndListener, Mono<Void>> next) {
        if (entry instanceof EntryGate.Refused refused) {
            return refuse(exchange, customer, requestClass, refused.failure());
        }
        return next.apply(((EntryGate.Admitted) entry).end());
    }

    private Mono<Void> refuse(Exchange exchange, String customer, String requestClass, Failure failure) {
        metrics.recordRefusal(exchange.id(), customer, requestClass, failure);
        return Replies.problem(exchange.response(), failure, exchange.id());
    }
}
