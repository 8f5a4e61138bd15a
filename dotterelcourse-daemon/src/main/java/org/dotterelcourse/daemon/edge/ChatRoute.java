package org.dotterelcourse.daemon.edge;

import com.dynatrace.hash4j.hashing.Hashing;
import org.dotterelcourse.configuration.RequestClass;
import org.dotterelcourse.daemon.dispatch.ChatCall;
import org.dotterelcourse.daemon.dispatch.Failure;
import org.dotterelcourse.daemon.http.BoundedBody;
import reactor.core.publisher.Mono;

/** Checks chat completions and hands them on. */
final class ChatRoute implements Route {
    private final CallerCheck check;
    private final BoundedBody bodies;
    private final EntryGate gate;
    private final ChatHandler chats;
    private final Refuser refuser;
    private final ChatRequests requests = new ChatRequests();

    ChatRoute(CallerCheck check, BoundedBody bodies, EntryGate gate, ChatHandler chats, Refuser refuser) {
        this.check = check;
        this.bodies = bodies;
        this.gate = gate;
        this.chats = chats;
        this.refuser = refuser;
    }

    @Override
    public Mono<Void> handle(Exchange exchange) {
        Parsed<Caller> caller = check.caller(exchange.headers());
        if (caller instanceof Parsed.Wrong<Caller> wrong) {
            return refuser.refuse(exchange, wrong.failure());
        }
        Caller known = ((Parsed.Right<Caller>) caller).value();
        Parsed<RequestClass> found = check.chatClass(known, exchange.headers());
        if (found instanceof Parsed.Wrong<RequestClass> wrong) {
            return refuser.refuse(exchange, wrong.failure());
        }
        RequestClass requestClass = ((Parsed.Right<RequestClass>) found).value();
        exchange.response().header(Replies.REQUEST_CLASS, requestClass.name());
        return bodies.collect(exchange.request().receive())
                .flatMap(body -> handle(exchange, known.customer().name(), requestClass, body));
    }

    private Mono<Void> handle(Exchange exchange, String customer, RequestClass requestClass, byte[] body) {
        Parsed<ChatCall> parsed = requests.parse(exchange.id(), customer, requestClass, body, exchange.arrivalNanos());
        if (parsed instanceof Parsed.Wrong<ChatCall> wrong) {
            return refuser.refuse(exchange, wrong.failure());
        }
        ChatCall call = ((Parsed.Right<ChatCall>) parsed).value();
        long fingerprint = Hashing.komihash5_0().hashBytesToLong(body);
        return gate.enter(exchange, customer, requestClass, call.inputTokens(), fingerprint)
                .flatMap(entry -> {
                    if (entry instanceof EntryGate.Admitted admitted) {
                        return chats.handle(call, exchange.response(), admitted.end());
                    }
                    Failure failure = ((EntryGate.Refused) entry).failure();
                    return refuser.refuse(exchange, customer, requestClass.name(), failure);
                });
    }
}
