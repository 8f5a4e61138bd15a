package org.dotterelcourse.gateway.edge;

import java.io.IOException;
import java.util.concurrent.atomic.AtomicInteger;

import org.junit.jupiter.api.Test;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

import static org.assertj.core.api.Assertions.assertThat;

final class StreamSenderTest {
    private final AtomicInteger subscriptions = new AtomicInteger();
    private final AtomicInteger cancellations = new AtomicInteger();
    private final Flux<byte[]> stream = Flux.<byte[]>never()
            .doOnSubscribe(subscription -> subscriptions.incrementAndGet())
            .doOnCancel(cancellations::incrementAndGet);

    // If the client has reset its connection, the headers can't be written. The worker must not keep running.
    @Test
    void failureBeforeTheStreamCancelsIt() {
        Mono<Void> headers = Mono.error(new IOException("reset"));
        StreamSender.send(stream, events -> headers.thenMany(events).then()).subscribe(none -> {}, error -> {});

        assertThat(cancellations).hasValue(1);
    }

    // A client that disconnects while its headers are being written must not leave the worker running.
    @Test
    void cancellationBeforeTheStreamCancelsIt() {
        Mono<Void> headers = Mono.never();
        StreamSender.send(stream, events -> headers.thenMany(events).then())
                .subscribe()
                .dispose();

        assertThat(cancellations).hasValue(1);
    }

    // A second subscription would read the body of the worker's response twice.
    @Test
    void streamThatWasSentIsSubscribedOnce() {
        StreamSender.send(stream, Flux::then).subscribe().dispose();

        assertThat(subscriptions).hasValue(1);
        assertThat(cancellations).hasValue(1);
    }
}
