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

/** Authenticates and admits calls to plain services, forwards them to the upstream and returns its answers. */
final class ServiceRoute implements Route {
    /** Path prefix of calls to plain services; the upstream's name and the path at the service follow. */
    static final String PATH_PREFIX = "/v1/services/";

    private final CallerResolver callerResolver;
    private final BoundedBodyCollector bodyCollector;
    private final AdmissionGate gate;
    private final ServiceDispatcher dispatcher;
    private final RequestMetrics metrics;
    private final RefusalHandler refusals;

    ServiceRoute(
            CallerResolver callerResolver,
            BoundedBodyCollector bodyCollector,
            AdmissionGate gate,
            ServiceDispatcher dispatcher,
            RequestMetrics metrics,
            RefusalHandler refusals) {
        this.callerResolver = callerResolver;
        this.bodyCollector = bodyCollector;
        this.gate = gate;
        this.dispatcher = dispatcher;
        this.metrics = metrics;
        this.refusals = refusals;
    }

    @Override
    public Mono<Void> handle(Exchange exchange) {
        String upstreamAndPath = exchange.request().uri().substring(PATH_PREFIX.length());
        int slash = upstreamAndPath.indexOf('/');
        String upstream = slash < 0 ? upstreamAndPath : upstreamAndPath.substring(0, slash);
        String path = slash < 0 ? "/" : upstreamAndPath.substring(slash);
        return refusals.proceedOrRefuse(
                exchange,
                callerResolver.authenticate(exchange.headers()),
                caller -> refusals.proceedOrRefuse(
                        exchange,
                        callerResolver.resolveServiceClass(caller, exchange.headers(), upstream),
                        requestClass -> readBody(exchange, caller.customer().name(), requestClass, path)));
    }

    private Mono<Void> readBody(Exchange exchange, String customer, RequestClass requestClass, String path) {
        exchange.response().header(Replies.REQUEST_CLASS_HEADER, requestClass.name());
        return bodyCollector
                .collect(exchange.request().receive())
                .map(body -> newRequest(exchange, customer, requestClass, path, body))
                .flatMap(request -> admit(exchange, request));
    }

    private static ServiceRequest newRequest(
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

    private Mono<Void> admit(Exchange exchange, ServiceRequest request) {
        long fingerprint = Hashing.komihash5_0()
                .hashStream()
                .putString(request.method())
                .putString(request.path())
                .putByteArray(request.body())
                .getAsLong();
        RequestClass requestClass = request.requestClass();
        return gate.admit(exchange, request.customer(), requestClass, 0, fingerprint)
                .flatMap(decision -> refusals.proceedOrRefuse(
                        exchange,
                        request.customer(),
                        requestClass.name(),
                        decision,
                        endListener -> dispatch(exchange, request, endListener)));
    }

    private Mono<Void> dispatch(Exchange exchange, ServiceRequest request, RequestEndListener endListener) {
        RequestTracker tracker = metrics.track(
                request.id(), request.customer(), request.requestClass(), request.arrivalNanos(), endListener);
        Mono<ServiceAnswer> answer = tracker.track(dispatcher.dispatch(request, tracker));
        return answer.flatMap(result -> {
            if (result instanceof ServiceAnswer.Answered answered) {
                return Replies.sendAnswer(
                        exchange.response(), answered.status(), answered.contentType(), answered.body());
            }
            return Replies.sendProblem(exchange.response(), ((ServiceAnswer.Failed) result).failure(), exchange.id());
        });
    }
}
