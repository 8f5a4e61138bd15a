package org.dotterelcourse.daemon.edge;

import com.dynatrace.hash4j.hashing.Hashing;
import org.dotterelcourse.configuration.RequestClass;
import org.dotterelcourse.daemon.dispatch.Failure;
import org.dotterelcourse.daemon.dispatch.ServiceAnswer;
import org.dotterelcourse.daemon.dispatch.ServiceDispatcher;
import org.dotterelcourse.daemon.dispatch.ServiceRequest;
import org.dotterelcourse.daemon.http.BoundedBody;
import org.dotterelcourse.daemon.metrics.RequestEnd;
import org.dotterelcourse.daemon.metrics.RequestMetrics;
import org.dotterelcourse.daemon.metrics.RequestWatch;
import reactor.core.publisher.Mono;

/** Checks calls to plain services, passes them through and passes the answers back. */
final class ServiceRoute implements Route {
    /** Where the path of a call to a plain service begins; the upstream's name and the service's own path follow. */
    static final String PREFIX = "/v1/services/";

    private final CallerCheck check;
    private final BoundedBody bodies;
    private final EntryGate gate;
    private final ServiceDispatcher dispatcher;
    private final RequestMetrics metrics;
    private final Refuser refuser;

    ServiceRoute(
            CallerCheck check,
            BoundedBody bodies,
            EntryGate gate,
            ServiceDispatcher dispatcher,
            RequestMetrics metrics,
            Refuser refuser) {
        this.check = check;
        this.bodies = bodies;
        this.gate = gate;
        this.dispatcher = dispatcher;
        this.metrics = metrics;
        this.refuser = refuser;
    }

    @Override
    public Mono<Void> handle(Exchange exchange) {
        Parsed<Caller> caller = check.caller(exchange.headers());
        if (caller instanceof Parsed.Wrong<Caller> wrong) {
            return refuser.refuse(exchange, wrong.failure());
        }
        Caller known = ((Parsed.Right<Caller>) caller).value();
        String rest = exchange.request().uri().substring(PREFIX.length());
        int slash = rest.indexOf('/');
        String upstream = slash < 0 ? rest : rest.substring(0, slash);
        String path = slash < 0 ? "/" : rest.substring(slash);
        Parsed<RequestClass> found = check.serviceClass(known, exchange.headers(), upstream);
        if (found instanceof Parsed.Wrong<RequestClass> wrong) {
            return refuser.refuse(exchange, wrong.failure());
        }
        RequestClass requestClass = ((Parsed.Right<RequestClass>) found).value();
        exchange.response().header(Replies.REQUEST_CLASS, requestClass.name());
        return bodies.collect(exchange.request().receive())
                .map(body -> request(exchange, known.customer().name(), requestClass, path, body))
                .flatMap(request -> once(exchange, request));
    }

    private static ServiceRequest request(
            Exchange exchange, String customer, RequestClass requestClass, String path, byte[] body) {
        return new ServiceRequest(
                exchange.id(),
                customer,
                requestClass,
                exchange.request().method().name(),
                path,
                exchange.headers().get("Content-Type", "application/octet-stream"),
                body,
                exchange.arrivalNanos());
    }

    private Mono<Void> once(Exchange exchange, ServiceRequest request) {
        long fingerprint = Hashing.komihash5_0()
                .hashStream()
                .putString(request.method())
                .putString(request.path())
                .putByteArray(request.body())
                .getAsLong();
        return gate.enter(exchange, request.customer(), request.requestClass(), 0, fingerprint)
                .flatMap(entry -> {
                    if (entry instanceof EntryGate.Admitted admitted) {
                        return answer(exchange, request, admitted.end());
                    }
                    Failure failure = ((EntryGate.Refused) entry).failure();
                    return refuser.refuse(
                            exchange, request.customer(), request.requestClass().name(), failure);
                });
    }

    private Mono<Void> answer(Exchange exchange, ServiceRequest request, RequestEnd end) {
        RequestWatch watch =
                metrics.watch(request.id(), request.customer(), request.requestClass(), request.arrivalNanos(), end);
        Mono<ServiceAnswer> answer = watch.watch(dispatcher.dispatch(request, watch));
        return answer.flatMap(result -> {
            if (result instanceof ServiceAnswer.Answered answered) {
                return Replies.answered(
                        exchange.response(), answered.status(), answered.contentType(), answered.body());
            }
            return Replies.problem(exchange.response(), ((ServiceAnswer.Failed) result).failure(), exchange.id());
        });
    }
}
