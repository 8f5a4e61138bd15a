package org.dotterelcourse.daemon.edge;

import org.dotterelcourse.daemon.once.OnceGate;
import reactor.core.publisher.Mono;

/** Reads the headers by which a caller asks for at most one run. */
final class OnceHeaders {
    private static final String TICKET = "X-Ticket";
    private static final String KEY = "X-Idempotency-Key";

    private OnceHeaders() {}

    static Mono<OnceGate.Pass> enter(OnceGate gate, Exchange exchange, String customer, long fingerprint) {
        String ticket = exchange.headers().get(TICKET, "");
        String key = exchange.headers().get(KEY, "");
        return gate.enter(customer, ticket, key, fingerprint);
    }
}
