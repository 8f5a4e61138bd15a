package org.dotterelcourse.daemon.edge;

import com.dynatrace.hash4j.hashing.Hashing;
import org.dotterelcourse.configuration.RequestClass;
import org.dotterelcourse.daemon.dispatch.ChatCall;
import org.dotterelcourse.daemon.http.BoundedBodyCollector;
import reactor.core.publisher.Mono;

/** Checks chat completions and hands them on. */
final class ChatRoute implements Route {
    private final CallerCheck check;
    private final BoundedBodyCollector bodies;
    private final EntryGate gate;
    private final ChatHandler chats;
    private final Refuser refuser;
    private final ChatRequests requests = new ChatRequests();

    ChatRoute(CallerCheck check, BoundedBodyCollector bodies, EntryGate gate, ChatHandler chats, Refuser refuser) {
        this.check = check;
        this.bodies = bodies;
        this.gate = gate;
        this.chats = chats;
        this.refuser = refuser;
    }

    @Override
    public Mono<Void> handle(Exchange exchange) {
        return refuser.orRefuse(
                exchange,
                check.caller(exchange.headers()),
                caller -> refuser.orRefuse(
                        exchange,
                        check.chatClass(caller, exchange.headers()),
                        requestClass -> read(exchange, caller.customer().name(), requestClass)));
    }

    private Mono<Void> read(Exchange exchange, String customer, RequestClass requestClass) {
        exchange.response().header(Replies.REQUEST_CLASS, requestClass.name());
        return bodies.collect(exchange.request().receive())
                .flatMap(body -> refuser.orRefuse(
                        exchange,
                        requests.parse(exchange.id(), customer, requestClass, body, exchange.arrivalNanos()),
                        call -> enter(exchange, call, body)));
    }

    private Mono<Void> enter(Exchange exchange, ChatCall call, byte[] body) {
        long fingerprint = Hashing.komihash5_0().hashBytesToLong(body);
        RequestClass requestClass = call.requestClass();
        return gate.enter(exchange, call.customer(), requestClass, call.inputTokens(), fingerprint)
                .flatMap(entry -> refuser.orRefuse(
                        exchange,
                        call.customer(),
                        requestClass.name(),
                        entry,
                        end -> chats.handle(call, exchange.response(), end)));
    }
}
