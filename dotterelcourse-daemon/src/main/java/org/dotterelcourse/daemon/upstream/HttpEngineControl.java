package org.dotterelcourse.daemon.upstream;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.buffer.Unpooled;
import org.dotterelcourse.coordination.order.Fence;
import org.dotterelcourse.coordination.order.ModelVersion;
import org.dotterelcourse.coordination.order.Order;
import org.dotterelcourse.coordination.order.OrderAction;
import org.dotterelcourse.coordination.order.OrderAnswer;
import org.jboss.logging.Logger;
import reactor.core.publisher.Mono;
import reactor.netty.http.client.HttpClient;

/** Sends orders to engines over HTTP (docs/PROTOCOLS.md, "Engines"). */
public final class HttpEngineControl implements EngineControl {
    private static final Duration TIMEOUT = Duration.ofSeconds(2);
    private static final int OK = 200;
    private static final int CONFLICT = 409;
    private static final Logger LOG = Logger.getLogger(HttpEngineControl.class);

    private final HttpClient client = UpstreamClients.pooled(TIMEOUT);
    private final ObjectMapper json = new ObjectMapper();

    @Override
    public Mono<OrderAnswer> write(String address, Order order) {
        byte[] body = encode(order).toString().getBytes(StandardCharsets.UTF_8);
        return client.headers(headers -> headers.set("Content-Type", "application/json"))
                .post()
                .uri("http://" + address + "/v1/orders")
                .send(Mono.fromSupplier(() -> Unpooled.wrappedBuffer(body)))
                .responseSingle((response, content) -> content.asString()
                        .defaultIfEmpty("")
                        .map(text -> toAnswer(response.status().code(), text)))
                .timeout(TIMEOUT)
                .onErrorResume(error -> {
                    LOG.debug("failed to send an order to " + address, error);
                    return Mono.just(new OrderAnswer.Failed());
                });
    }

    private ObjectNode encode(Order order) {
        ObjectNode body = json.createObjectNode().put("fence", order.fence().wire());
        OrderAction action = order.action();
        if (action instanceof OrderAction.Load load) {
            return putVersion(body.put("action", "load"), load.version());
        }
        if (action instanceof OrderAction.Unload unload) {
            return putVersion(body.put("action", "unload"), unload.version());
        }
        return body.put("action", "role").put("role", ((OrderAction.Role) action).role());
    }

    private static ObjectNode putVersion(ObjectNode body, ModelVersion version) {
        return body.put("model", version.model()).put("version", version.version());
    }

    private OrderAnswer toAnswer(int status, String text) {
        if (status == OK) {
            return new OrderAnswer.Accepted();
        }
        if (status != CONFLICT) {
            return new OrderAnswer.Failed();
        }
        try {
            return new OrderAnswer.Fenced(
                    Fence.of(json.readTree(text).required("fence").asLong()));
        } catch (IOException | IllegalArgumentException e) {
            return new OrderAnswer.Failed();
        }
    }
}
