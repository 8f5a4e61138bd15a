package org.dotterelcourse.daemon.edge;

import java.util.function.Function;

import org.dotterelcourse.daemon.dispatch.Failure;
import org.dotterelcourse.daemon.metrics.RequestEndListener;
import org.dotterelcourse.daemon.metrics.RequestMetrics;
import reactor.core.publisher.Mono;

/** Sends the failure of a refused request to its caller and records each refusal in metrics and log. */
final class RefusalHandler {
    private final RequestMetrics metrics;

    RefusalHandler(RequestMetrics metrics) {
        this.metrics = metrics;
    }

    /**
     * Continues with a valid value, or refuses the request. The refusal is recorded without customer and class, as they
     * may not be established yet.
     *
     * @param exchange the request and its response
     * @param parsed the checked part of the request
     * @param next continues the request with the valid value
     * @param <T> the type of the value
     * @return completes when the response has been sent
     */
    <T> Mono<Void> proceedOrRefuse(Exchange exchange, Parsed<T> parsed, Function<T, Mono<Void>> next) {
        if (parsed instanceof Parsed.Invalid<T> invalid) {
            return refuse(exchange, "", "", invalid.failure());
        }
        return next.apply(((Parsed.Valid<T>) parsed).value());
    }

    /**
     * Continues with an admitted request, or refuses it.
     *
     * @param exchange the request and its response
     * @param customer the customer's name
     * @param requestClass the name of the request's class
     * @param decision the result of admission control
     * @param next continues the request; its argument must be notified when the request ends
     * @return completes when the response has been sent
     */
    Mono<Void> proceedOrRefuse(
            Exchange exchange,
            String customer,
            String requestClass,
            AdmissionGate.Decision decision,
            Function<RequestEndListener, Mono<Void>> next) {
        if (decision instanceof AdmissionGate.Refused refused) {
            return refuse(exchange, customer, requestClass, refused.failure());
        }
        return next.apply(((AdmissionGate.Admitted) decision).endListener());
    }

    private Mono<Void> refuse(Exchange exchange, String customer, String requestClass, Failure failure) {
        metrics.recordRefusal(exchange.id(), customer, requestClass, failure);
        return Replies.sendProblem(exchange.response(), failure, exchange.id());
    }
}
