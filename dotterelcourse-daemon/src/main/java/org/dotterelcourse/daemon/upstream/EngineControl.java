package org.dotterelcourse.daemon.upstream;

import org.dotterelcourse.coordination.order.Order;
import org.dotterelcourse.coordination.order.OrderAnswer;
import reactor.core.publisher.Mono;

/** Client of the model engines for orders, which load or unload a model version or change a worker's role. */
public interface EngineControl {
    /**
     * Sends an order to an engine.
     *
     * @param address the engine's address as {@code IP:port}
     * @param order the order, with its fencing number
     * @return the engine's answer, always exactly one value; {@link OrderAnswer.Failed} if there is no valid answer
     */
    Mono<OrderAnswer> write(String address, Order order);
}
