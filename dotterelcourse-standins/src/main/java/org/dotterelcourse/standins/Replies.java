package org.dotterelcourse.standins;

import java.util.function.Function;

import io.netty.handler.codec.http.HttpHeaderNames;
import org.reactivestreams.Publisher;
import reactor.core.publisher.Mono;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

/** Whole answers of the stand-ins' HTTP servers, and whole request bodies. */
final class Replies {
    static final String REQUEST_ID = "X-Request-Id";

    private Replies() {}

    static Publisher<Void> json(HttpServerResponse response, int status, Object body) {
        response.status(status).header(HttpHeaderNames.CONTENT_TYPE, "application/json");
        return response.sendString(Mono.just(Json.text(body)));
    }

    static Publisher<Void> text(HttpServerResponse response, int status, String body) {
        response.status(status).header(HttpHeaderNames.CONTENT_TYPE, "text/plain; charset=utf-8");
        return response.sendString(Mono.just(body));
    }

    static Publisher<Void> problem(HttpServerResponse response, int status, String detail) {
        response.status(status).header(HttpHeaderNames.CONTENT_TYPE, "application/problem+json");
        return response.sendString(Mono.just(Json.text(Json.object()
                .put("type", "about:blank")
                .put("title", "refused")
                .put("status", status)
                .put("detail", detail))));
    }

    static Publisher<Void> status(HttpServerResponse response, int status) {
        return response.status(status).send();
    }

    static Publisher<Void> withBody(HttpServerRequest request, Function<byte[], Publisher<Void>> use) {
        return request.receive()
                .aggregate()
                .asByteArray()
                .defaultIfEmpty(new byte[0])
                .flatMap(body -> Mono.from(use.apply(body)));
    }

    static String requestId(HttpServerRequest request) {
        String id = request.requestHeaders().get(REQUEST_ID);
        return id == null ? "" : id;
    }

    static String query(HttpServerRequest request, String name, String otherwise) {
        String uri = request.uri();
        int start = uri.indexOf('?');
        if (start < 0) {
            return otherwise;
        }
        for (String pair : uri.substring(start + 1).split("&")) {
            if (pair.startsWith(name + "=")) {
                return pair.substring(name.length() + 1);
            }
        }
        return otherwise;
    }
}
