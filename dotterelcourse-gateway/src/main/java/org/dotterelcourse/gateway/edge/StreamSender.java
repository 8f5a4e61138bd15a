package org.dotterelcourse.gateway.edge;

import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Function;

import org.reactivestreams.Subscription;
import reactor.core.publisher.BaseSubscriber;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/**
 * Sends a stream that holds a worker's connection until it ends. If sending ends before the stream was subscribed, for
 * example because the response headers can't be written, the stream is cancelled.
 */
final class StreamSender {
    private StreamSender() {}

    /**
     * Returns a publisher that sends the stream.
     *
     * @param events the stream
     * @param sender returns the publisher that subscribes to the given stream at most once and ends with it
     */
    static Mono<Void> send(Flux<byte[]> events, Function<Flux<byte[]>, Mono<Void>> sender) {
        AtomicBoolean isSubscribed = new AtomicBoolean();
        Flux<byte[]> observed = Flux.defer(() -> {
            isSubscribed.set(true);
            return events;
        });
        return sender.apply(observed).doFinally(signal -> {
            if (!isSubscribed.get()) {
                events.subscribe(new CancellingSubscriber());
            }
        });
    }

    /** Cancels at once. */
    private static final class CancellingSubscriber extends BaseSubscriber<byte[]> {
        @Override
        protected void hookOnSubscribe(Subscription subscription) {
            cancel();
        }
    }
}
