package org.dotterelcourse.daemon.edge;

import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;

import org.dotterelcourse.configuration.RequestClass;
import org.dotterelcourse.daemon.dispatch.Failure;
import org.dotterelcourse.daemon.dispatch.Outcome;
import org.dotterelcourse.daemon.limits.Charge;
import org.dotterelcourse.daemon.limits.Limits;
import org.dotterelcourse.daemon.metrics.RequestEndListener;
import org.dotterelcourse.daemon.once.OnceGate;
import reactor.core.publisher.Mono;

/**
 * Admits or refuses each request before it asks for a worker: checks the customer's budget, then the ticket or
 * idempotency key. The budget is checked first so that a request over budget does not use up its ticket.
 */
final class AdmissionGate {
    private static final String TICKET_HEADER = "X-Ticket";
    private static final String IDEMPOTENCY_KEY_HEADER = "X-Idempotency-Key";

    /** EWMA weight of the newest answer's output tokens in its class's mean; averages over about thirty answers. */
    private static final double NEWEST_WEIGHT = 0.03;

    private final Limits limits;
    private final OnceGate onceGate;
    private final ConcurrentMap<String, Double> meanOutputTokens = new ConcurrentHashMap<>();

    AdmissionGate(Limits limits, OnceGate onceGate) {
        this.limits = limits;
        this.onceGate = onceGate;
    }

    /** The result of admission control. */
    sealed interface Decision {}

    /**
     * The request is admitted.
     *
     * @param endListener must be notified when the request ends, to settle its charge and its ticket or key
     */
    record Admitted(RequestEndListener endListener) implements Decision {}

    /**
     * The request is refused and has not run.
     *
     * @param failure the failure to send to the caller
     */
    record Refused(Failure failure) implements Decision {}

    /**
     * Charges the estimated tokens to the customer and checks the ticket or idempotency key.
     *
     * @param exchange the request, which may carry a ticket or idempotency key in its headers
     * @param customer the customer's name
     * @param requestClass the request's class, whose mean output estimates the length of the answer
     * @param inputTokens estimated length of the prompt in tokens, 0 for a plain service
     * @param fingerprint a hash of the whole request, which detects a key that is reused for a different request
     * @return the decision
     */
    Mono<Decision> admit(
            Exchange exchange, String customer, RequestClass requestClass, int inputTokens, long fingerprint) {
        double expectedOutputTokens =
                meanOutputTokens.getOrDefault(requestClass.name(), requestClass.maxOutputTokens() / 2.0);
        return limits.charge(customer, inputTokens + (long) Math.ceil(expectedOutputTokens))
                .flatMap(charge -> {
                    if (charge instanceof Charge.Charged charged) {
                        return checkOnce(exchange, customer, requestClass, inputTokens, fingerprint, charged);
                    }
                    long retryAfterNanos = ((Charge.OverBudget) charge).retryAfterNanos();
                    return Mono.just(new Refused(
                            Failure.notRun(Failure.TOO_MANY, "over budget", "the customer's budget is spent for now")
                                    .retryAfter(retryAfterNanos)));
                });
    }

    private Mono<Decision> checkOnce(
            Exchange exchange,
            String customer,
            RequestClass requestClass,
            int inputTokens,
            long fingerprint,
            Charge.Charged charged) {
        String ticket = exchange.headers().get(TICKET_HEADER, "");
        String key = exchange.headers().get(IDEMPOTENCY_KEY_HEADER, "");
        return onceGate.admit(customer, ticket, key, fingerprint).map(result -> {
            if (result instanceof OnceGate.Admitted run) {
                return new Admitted((outcome, outputTokens) -> {
                    run.ended().accept(outcome);
                    settle(requestClass, inputTokens, charged, outcome, outputTokens);
                });
            }
            charged.settle().accept(0);
            return new Refused(((OnceGate.Rejected) result).failure());
        });
    }

    private void settle(
            RequestClass requestClass, int inputTokens, Charge.Charged charged, Outcome outcome, int outputTokens) {
        boolean ran = !(outcome instanceof Outcome.NotRun);
        charged.settle().accept(ran ? inputTokens + outputTokens : 0);
        if (outcome instanceof Outcome.Answered) {
            meanOutputTokens.merge(
                    requestClass.name(),
                    (double) outputTokens,
                    (mean, newest) -> mean + NEWEST_WEIGHT * (newest - mean));
        }
    }
}
