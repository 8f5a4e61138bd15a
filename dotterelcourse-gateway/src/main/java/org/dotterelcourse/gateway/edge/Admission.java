package org.dotterelcourse.gateway.edge;

import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import org.dotterelcourse.gateway.forward.Call;
import org.dotterelcourse.gateway.forward.Dialect;
import org.dotterelcourse.gateway.forward.OwnAnswer;
import org.dotterelcourse.gateway.routing.Customer;
import org.dotterelcourse.gateway.routing.Route;
import org.dotterelcourse.gateway.routing.RoutingTable;
import org.dotterelcourse.gateway.routing.UpstreamSpec;
import org.dotterelcourse.policy.selection.LatencyClass;
import org.dotterelcourse.policy.selection.Prompt;

/** Decides by the routing table whether a request is let in, and as what. */
final class Admission {
    private static final int UNAUTHORIZED = 401;
    private static final int NOT_FOUND = 404;
    private static final int BAD_REQUEST = 400;
    private static final long NANOS_PER_MILLI = 1_000_000L;

    /** A process that has just started reads its first routing table within a few hundred milliseconds. */
    private static final long RETRY_AFTER_START_MILLIS = 300;

    /** Headers of RFC 9110, 7.6.1, that concern one connection, and those that the sender of a message sets itself. */
    private static final Set<String> ONE_CONNECTION = Set.of(
            "connection",
            "keep-alive",
            "proxy-connection",
            "proxy-authenticate",
            "proxy-authorization",
            "te",
            "trailer",
            "transfer-encoding",
            "upgrade",
            "content-length",
            "expect");

    private final Dialect dialect;

    Admission(Dialect dialect) {
        this.dialect = dialect;
    }

    /** The outcome: a call's terms, or the answer that refuses it. */
    sealed interface Verdict {
        /**
         * Let in.
         *
         * @param terms as what
         */
        record Admitted(Call.Terms terms) implements Verdict {}

        /**
         * Not let in.
         *
         * @param answer what the client is told
         */
        record Refused(OwnAnswer answer) implements Verdict {}
    }

    Verdict check(Optional<RoutingTable> current, HttpHeaders headers, String uri, long arrivalNanos) {
        if (current.isEmpty()) {
            return refused(OwnAnswer.notRun("no routing table yet", RETRY_AFTER_START_MILLIS));
        }
        String id = dialect.requestId(headers);
        if (id.isEmpty()) {
            return refused(new OwnAnswer(BAD_REQUEST, "the request has no id", 0));
        }
        RoutingTable table = current.get();
        Optional<Route> route = table.route(headers.get(HttpHeaderNames.HOST, ""), path(uri));
        if (route.isEmpty()) {
            return refused(new OwnAnswer(NOT_FOUND, "no route", 0));
        }
        Optional<Customer> customer = table.customer(dialect.key(headers));
        if (table.requiresKey() && !route.get().anonymous() && customer.isEmpty()) {
            return refused(new OwnAnswer(UNAUTHORIZED, "unknown key", 0));
        }
        return new Verdict.Admitted(terms(table, route.get(), customer, headers, id, arrivalNanos));
    }

    private Call.Terms terms(
            RoutingTable table,
            Route route,
            Optional<Customer> customer,
            HttpHeaders headers,
            String id,
            long arrivalNanos) {
        UpstreamSpec upstream = table.upstream(route.upstreamFor(id));
        Optional<Prompt> prompt = upstream.engine()
                ? dialect.prompt(
                        headers,
                        LatencyClass.of(route.gapTargetMillis(), route.targetMillis(), upstream.tokensPerEvent()))
                : Optional.empty();
        long waits = dialect.waitMillis(headers).orElse(route.timeoutMillis());
        long bound = Math.min(waits, route.timeoutMillis());
        return new Call.Terms(
                id,
                route,
                upstream,
                customer.map(Customer::name).orElse(""),
                table.urgency(route, customer),
                prompt,
                arrivalNanos,
                arrivalNanos + bound * NANOS_PER_MILLI);
    }

    /** The client's headers without those of one connection and those that only the router may set. */
    HttpHeaders passedOn(HttpHeaders headers) {
        Set<String> named = headers.getAll(HttpHeaderNames.CONNECTION).stream()
                .flatMap(value -> Stream.of(value.split(",")))
                .map(each -> each.trim().toLowerCase(Locale.ROOT))
                .collect(Collectors.toSet());
        return without(headers, name -> named.contains(name) || dialect.reserved(name));
    }

    /** A worker's headers without those of one connection. */
    static HttpHeaders answerHeaders(HttpHeaders headers) {
        return without(headers, name -> false);
    }

    private static HttpHeaders without(HttpHeaders headers, Predicate<String> left) {
        HttpHeaders passed = new DefaultHttpHeaders();
        for (Map.Entry<String, String> header : headers) {
            String name = header.getKey().toLowerCase(Locale.ROOT);
            if (!ONE_CONNECTION.contains(name) && !left.test(name)) {
                passed.add(header.getKey(), header.getValue());
            }
        }
        return passed;
    }

    private static String path(String uri) {
        int query = uri.indexOf('?');
        return query < 0 ? uri : uri.substring(0, query);
    }

    private static Verdict refused(OwnAnswer answer) {
        return new Verdict.Refused(answer);
    }
}
