package org.dotterelcourse.daemon.upstream;

import org.dotterelcourse.coordination.order.Order;
import org.dotterelcourse.coordination.order.OrderAnswer;
import reactor.core.publisher.Mono;

/** A model engine, as far as orders go. */
public interface EngineControl {
    /**
     * Writes an order.
     *
     * @param address the engine's IP number and port
     * @param order the order
     * @return what came of it, always one value
     */
    Mono<OrderAnswer> write(String address, Order order);
}
