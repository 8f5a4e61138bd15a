package org.dotterelcourse.daemon.edge;

import com.dynatrace.hash4j.hashing.Hashing;
import org.dotterelcourse.configuration.RequestClass;
import org.dotterelcourse.daemon.dispatch.ServiceAnswer;
import org.dotterelcourse.daemon.dispatch.ServiceDispatcher;
import org.dotterelcourse.daemon.dispatch.ServiceRequest;
import org.dotterelcourse.daemon.http.BoundedBodyCollector;
import org.dotterelcourse.daemon.metrics.RequestEndListener;
import org.dotterelcourse.daemon.metrics.RequestMetrics;
import org.dotterelcourse.daemon.metrics.RequestTracker;
import reactor.core.publisher.Mono;

/** Checks calls to plain services, passes them through and passes the answers back. */
final class ServiceRoute implements Route {
    /** Where the path of a call to a plain service begins; the upstream's name and the service's own path follow. */
    static final String PREFIX = "/v1/services/";

    private final CallerCheck check;
    private final BoundedBodyCollector bodies;
    private final EntryGate gate;
    private final ServiceDispatcher dispatcher;
    private final RequestMetrics metrics;
    private final Refuser refuser;

    ServiceRoute(
            CallerCheck check,
            BoundedBodyCollector bodies,
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
        String rest = exchange.request().uri().substring(PREFIX.length());
        int slash = rest.indexOf('/');
        String upstream = slash < 0 ? rest : rest.substring(0, slash);
        String path = slash < 0 ? "/" : rest.substring(slash);
        return refuser.orRefuse(
                exchange,
                check.caller(exchange.headers()),
                caller -> refuser.orRefuse(
                        exchange,
                        check.serviceClass(caller, exchange.headers(), upstream),
                        requestClass -> read(exchange, caller.customer().name(), requestClass, path)));
    }

    private Mono<Void> read(Exchange exchange, String customer, RequestClass requestClass, String path) {
        exchange.response().header(Replies.REQUEST_CLASS, requestClass.name());
        return bodies.collect(exchange.request().receive())
                .map(body -> request(exchange, customer, requestClass, path, body))
                .flatMap(request -> enter(exchange, request));
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

    private Mono<Void> enter(Exchange exchange, ServiceRequest request) {
        long fingerprint = Hashing.komihash5_0()
                .hashStream()
                .putString(request.method())
                .putString(request.path())
                .putByteArray(request.body())
                .getAsLong();
        RequestClass requestClass = request.requestClass();
        return gate.enter(exchange, request.customer(), requestClass, 0, fingerprint)
                .flatMap(entry -> refuser.orRefuse(
                        exchange,
                        request.customer(),
                        requestClass.name(),
                        entry,
                        end -> answer(exchange, request, end)));
    }

    private Mono<Void> answer(Exchange exchange, ServiceRequest request, RequestEndListener end) {
        RequestTracker watch =
                metrics.track(request.id(), request.customer(), request.requestClass(), request.arrivalNanos(), end);
        Mono<ServiceAnswer> answer = watch.track(dispatcher.dispatch(request, watch));
        return answer.flatMap(result -> {
            if (result instanceof ServiceAnswer.Answered answered) {
                return Replies.answered(
                        exchange.response(), answered.status(), answered.contentType(), answered.body());
            }
            return Replies.problem(exchange.response(), ((ServiceAnswer.Failed) result).failure(), exchange.id());
        });
    }
}
