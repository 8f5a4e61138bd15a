package org.dotterelcourse.daemon.edge;

import com.dynatrace.hash4j.hashing.Hashing;
import org.dotterelcourse.configuration.RequestClass;
import org.dotterelcourse.daemon.dispatch.ChatCall;
import org.dotterelcourse.daemon.http.BoundedBodyCollector;
import reactor.core.publisher.Mono;

/** Authenticates, parses and admits chat completions and passes them to the handler. */
final class ChatRoute implements Route {
    private final CallerResolver callerResolver;
    private final BoundedBodyCollector bodyCollector;
    private final AdmissionGate gate;
    private final ChatHandler handler;
    private final RefusalHandler refusals;
    private final ChatRequestParser parser = new ChatRequestParser();

    ChatRoute(
            CallerResolver callerResolver,
            BoundedBodyCollector bodyCollector,
            AdmissionGate gate,
            ChatHandler handler,
            RefusalHandler refusals) {
        this.callerResolver = callerResolver;
        this.bodyCollector = bodyCollector;
        this.gate = gate;
        this.handler = handler;
        this.refusals = refusals;
    }

    @Override
    public Mono<Void> handle(Exchange exchange) {
        return refusals.proceedOrRefuse(
                exchange,
                callerResolver.authenticate(exchange.headers()),
                caller -> refusals.proceedOrRefuse(
                        exchange,
                        callerResolver.resolveChatClass(caller, exchange.headers()),
                        requestClass -> readBody(exchange, caller.customer().name(), requestClass)));
    }

    private Mono<Void> readBody(Exchange exchange, String customer, RequestClass requestClass) {
        exchange.response().header(Replies.REQUEST_CLASS_HEADER, requestClass.name());
        return bodyCollector
                .collect(exchange.request().receive())
                .flatMap(body -> refusals.proceedOrRefuse(
                        exchange,
                        parser.parse(exchange.id(), customer, requestClass, body, exchange.arrivalNanos()),
                        call -> admit(exchange, call, body)));
    }

    private Mono<Void> admit(Exchange exchange, ChatCall call, byte[] body) {
        long fingerprint = Hashing.komihash5_0().hashBytesToLong(body);
        RequestClass requestClass = call.requestClass();
        return gate.admit(exchange, call.customer(), requestClass, call.inputTokens(), fingerprint)
                .flatMap(decision -> refusals.proceedOrRefuse(
                        exchange,
                        call.customer(),
                        requestClass.name(),
                        decision,
                        endListener -> handler.handle(call, exchange.response(), endListener)));
    }
}
