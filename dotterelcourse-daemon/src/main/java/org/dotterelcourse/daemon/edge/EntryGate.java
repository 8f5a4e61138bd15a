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
 * What every request passes before it may ask for a worker: its customer's budget, then its ticket or idempotency key.
 * The budget comes first, so that a request over budget doesn't use up its ticket.
 */
final class EntryGate {
    private static final String TICKET = "X-Ticket";
    private static final String KEY = "X-Idempotency-Key";

    /** Weight of the newest answer in the moving mean of a class's answers: some thirty answers make the estimate. */
    private static final double NEWEST = 0.03;

    private final Limits limits;
    private final OnceGate once;
    private final ConcurrentMap<String, Double> meanOutput = new ConcurrentHashMap<>();

    EntryGate(Limits limits, OnceGate once) {
        this.limits = limits;
        this.once = once;
    }

    /** Whether a request may go on. */
    sealed interface Entry {}

    /** It may; the end of it is to be told. */
    record Admitted(RequestEndListener end) implements Entry {}

    /** It may not. */
    record Refused(Failure failure) implements Entry {}

    /**
     * Asks.
     *
     * @param exchange the request
     * @param customer its customer
     * @param requestClass its class
     * @param inputTokens length of its prompt, 0 for a plain service
     * @param fingerprint a hash of the whole request
     */
    Mono<Entry> enter(
            Exchange exchange, String customer, RequestClass requestClass, int inputTokens, long fingerprint) {
        double output = meanOutput.getOrDefault(requestClass.name(), requestClass.maxOutputTokens() / 2.0);
        return limits.charge(customer, inputTokens + (long) Math.ceil(output)).flatMap(charge -> {
            if (charge instanceof Charge.Charged charged) {
                return once(exchange, customer, requestClass, inputTokens, fingerprint, charged);
            }
            long retryAfterNanos = ((Charge.OverBudget) charge).retryAfterNanos();
            return Mono.just(new Refused(
                    Failure.notRun(Failure.TOO_MANY, "over budget", "the customer's budget is spent for now")
                            .retryAfter(retryAfterNanos)));
        });
    }

    private Mono<Entry> once(
            Exchange exchange,
            String customer,
            RequestClass requestClass,
            int inputTokens,
            long fingerprint,
            Charge.Charged charged) {
        String ticket = exchange.headers().get(TICKET, "");
        String key = exchange.headers().get(KEY, "");
        return once.admit(customer, ticket, key, fingerprint).map(admission -> {
            if (admission instanceof OnceGate.Admitted admitted) {
                return new Admitted((outcome, outputTokens) -> {
                    admitted.ended().accept(outcome);
                    settle(requestClass, inputTokens, charged, outcome, outputTokens);
                });
            }
            charged.settle().accept(0);
            return new Refused(((OnceGate.Rejected) admission).failure());
        });
    }

    private void settle(
            RequestClass requestClass, int inputTokens, Charge.Charged charged, Outcome outcome, int outputTokens) {
        boolean ran = !(outcome instanceof Outcome.NotRun);
        charged.settle().accept(ran ? inputTokens + outputTokens : 0);
        if (outcome instanceof Outcome.Answered) {
            meanOutput.merge(
                    requestClass.name(), (double) outputTokens, (mean, newest) -> mean + NEWEST * (newest - mean));
        }
    }
}
