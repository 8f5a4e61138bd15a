package org.dotterelcourse.gateway.edge;

import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import org.dotterelcourse.gateway.forward.Call;
import org.dotterelcourse.gateway.forward.Dialect;
import org.dotterelcourse.gateway.forward.HopByHopHeaders;
import org.dotterelcourse.gateway.forward.LocalReply;
import org.dotterelcourse.gateway.routing.Customer;
import org.dotterelcourse.gateway.routing.Route;
import org.dotterelcourse.gateway.routing.RoutingTable;
import org.dotterelcourse.gateway.routing.UpstreamSpec;
import org.dotterelcourse.policy.selection.LatencyClass;
import org.dotterelcourse.policy.selection.Prompt;

/** Admits or rejects requests by the routing table, and determines the attributes of admitted ones. */
final class Admission {
    private static final int UNAUTHORIZED = 401;
    private static final int NOT_FOUND = 404;
    private static final int BAD_REQUEST = 400;
    private static final long NANOS_PER_MILLI = 1_000_000L;

    /** Workers repeat ids in their responses, where one that looks like a status line would make the response invalid. */
    private static final Pattern VALID_ID = Pattern.compile("[!-~]{1,256}");

    private final Dialect dialect;

    Admission(Dialect dialect) {
        this.dialect = dialect;
    }

    /** Decision whether a request is admitted. */
    sealed interface Decision {
        /**
         * The request is admitted.
         *
         * @param attributes the properties of the call, with its route, upstream and deadline
         */
        record Admitted(Call.Attributes attributes) implements Decision {}

        /**
         * The request is rejected.
         *
         * @param reply the reply to send to the client
         */
        record Rejected(LocalReply reply) implements Decision {}
    }

    Decision decide(RoutingTable table, HttpHeaders headers, String uri, long arrivalNanos) {
        String id = dialect.requestId(headers);
        if (id.isEmpty()) {
            return rejected(new LocalReply(BAD_REQUEST, "the request has no id", 0));
        }
        if (dialect.requestIds(headers).size() > 1 || !VALID_ID.matcher(id).matches()) {
            return rejected(new LocalReply(
                    BAD_REQUEST, "the request's id is not one text of at most 256 characters without spaces", 0));
        }
        Optional<Route> route = table.route(headers.get(HttpHeaderNames.HOST, ""), path(uri));
        if (route.isEmpty()) {
            return rejected(new LocalReply(NOT_FOUND, "no route", 0));
        }
        if (route.get().isStreaming() && dialect.resumedRequestIds(headers).size() > 1) {
            return rejected(new LocalReply(BAD_REQUEST, "the request resumes several streams", 0));
        }
        Optional<Customer> customer = table.customer(dialect.apiKey(headers));
        if (table.requiresKey() && !route.get().anonymous() && customer.isEmpty()) {
            return rejected(new LocalReply(UNAUTHORIZED, "unknown key", 0));
        }
        return new Decision.Admitted(attributes(table, route.get(), customer, headers, id, arrivalNanos));
    }

    private Call.Attributes attributes(
            RoutingTable table,
            Route route,
            Optional<Customer> customer,
            HttpHeaders headers,
            String id,
            long arrivalNanos) {
        Optional<String> resumes = resumes(route, headers);
        // A stream goes on at the upstream that began it, where a route has several.
        UpstreamSpec upstream = table.upstream(
                route.upstreamFor(resumes.filter(first -> !first.isEmpty()).orElse(id)));
        Optional<Prompt> prompt = upstream.engine()
                ? dialect.prompt(
                        headers,
                        LatencyClass.of(route.gapTargetMillis(), route.targetMillis(), upstream.tokensPerEvent()))
                : Optional.empty();
        long clientTimeoutMillis = dialect.clientTimeoutMillis(headers).orElse(route.timeoutMillis());
        long timeoutMillis = Math.min(clientTimeoutMillis, route.timeoutMillis());
        return new Call.Attributes(
                id,
                route,
                upstream,
                customer.map(Customer::name).orElse(""),
                table.urgency(route, customer),
                prompt,
                arrivalNanos,
                arrivalNanos + timeoutMillis * NANOS_PER_MILLI,
                resumes);
    }

    /** Returns which stream a request resumes; only requests for streams resume any. */
    private Optional<String> resumes(Route route, HttpHeaders headers) {
        List<String> ids = dialect.resumedRequestIds(headers);
        boolean isResumption =
                !ids.isEmpty() || !headers.get(dialect.lastEventIdHeader(), "").isBlank();
        return route.isStreaming() && isResumption ? Optional.of(ids.isEmpty() ? "" : ids.get(0)) : Optional.empty();
    }

    /** Returns a client's headers without hop-by-hop headers and those that only the router may set. */
    HttpHeaders forwardedRequestHeaders(HttpHeaders headers) {
        Set<String> connectionOptions = headers.getAll(HttpHeaderNames.CONNECTION).stream()
                .flatMap(value -> Stream.of(value.split(",")))
                .map(option -> option.trim().toLowerCase(Locale.ROOT))
                .collect(Collectors.toSet());
        return HopByHopHeaders.remove(headers, name -> connectionOptions.contains(name) || dialect.isReserved(name));
    }

    /** Returns a worker's headers without hop-by-hop headers. */
    static HttpHeaders forwardedResponseHeaders(HttpHeaders headers) {
        return HopByHopHeaders.remove(headers, name -> false);
    }

    private static String path(String uri) {
        int query = uri.indexOf('?');
        return query < 0 ? uri : uri.substring(0, query);
    }

    private static Decision rejected(LocalReply reply) {
        return new Decision.Rejected(reply);
    }
}
