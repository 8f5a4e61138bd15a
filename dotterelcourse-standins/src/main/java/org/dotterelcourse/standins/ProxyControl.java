package org.dotterelcourse.standins;

import java.time.Duration;
import java.util.HashSet;
import java.util.Locale;
import java.util.Set;

import com.fasterxml.jackson.databind.JsonNode;
import org.reactivestreams.Publisher;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

/**
 * The HTTP control port of a {@link FaultProxy}: {@code GET /links}, and {@code POST /links} with {@code {"link": NAME,
 * "action": ACTION}} and what the action takes.
 */
final class ProxyControl implements AutoCloseable {
    private final FaultProxy proxy;
    private final StandInServer server;

    ProxyControl(FaultProxy proxy, int port) {
        this.proxy = proxy;
        this.server = new StandInServer(port, this::handle);
    }

    ProxyControl start() {
        server.listen();
        return this;
    }

    String address() {
        return server.address();
    }

    @Override
    public void close() {
        server.close();
    }

    private Publisher<Void> handle(HttpServerRequest request, HttpServerResponse response) {
        if (!request.path().equals("links")) {
            return Replies.problem(response, 404, "no such call");
        }
        return Replies.withBody(request, body -> {
            if (body.length > 0) {
                act(Json.parse(body));
            }
            return Replies.json(response, 200, proxy.describe());
        });
    }

    private void act(JsonNode body) {
        String action = body.path("action").asText("");
        if (action.equals("heal")) {
            proxy.heal();
            return;
        }
        ProxyLink link = proxy.link(body.path("link").asText(""));
        switch (action) {
            case "delay" -> link.delay(millis(body, "millis"), millis(body, "jitterMillis"));
            case "refuse" -> link.refuseNew(true);
            case "cut" -> link.cut();
            case "silence-open" -> link.silenceOpen(direction(body));
            case "silence-new" -> link.silenceNew(direction(body));
            case "loss" ->
                link.loss(body.path("loss").asDouble(), body.path("duplication").asDouble());
            case "hold" -> link.hold(clients(body));
            case "recover" -> link.recover();
            default ->
                throw new IllegalArgumentException("action is one of delay, refuse, cut, silence-open, "
                        + "silence-new, loss, hold, heal, recover");
        }
    }

    private static Duration millis(JsonNode body, String name) {
        return Duration.ofMillis(body.path(name).asLong(0));
    }

    private static ProxyLink.Direction direction(JsonNode body) {
        return ProxyLink.Direction.valueOf(body.path("direction").asText("both").toUpperCase(Locale.ROOT));
    }

    private static Set<String> clients(JsonNode body) {
        Set<String> clients = new HashSet<>();
        body.path("clients").forEach(each -> clients.add(each.asText()));
        return clients;
    }
}
