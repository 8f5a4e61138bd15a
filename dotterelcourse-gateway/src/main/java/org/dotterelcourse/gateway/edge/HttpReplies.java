package org.dotterelcourse.gateway.edge;

import java.util.function.Consumer;

import com.codahale.metrics.Counter;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.handler.codec.http.HttpHeaderNames;
import org.dotterelcourse.gateway.forward.Reply;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.netty.ByteBufFlux;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

/** Sends workers' responses to clients, and to peers on whose behalf a request was forwarded. */
final class HttpReplies {
    private HttpReplies() {}

    /** Completes when the connection of a request closes. Its listener is removed at the end of the request. */
    static Mono<Void> disconnection(HttpServerRequest request) {
        return Mono.create(sink -> request.withConnection(connection -> {
            ChannelFuture closeFuture = connection.channel().closeFuture();
            ChannelFutureListener listener = future -> sink.success();
            closeFuture.addListener(listener);
            sink.onDispose(() -> closeFuture.removeListener(listener));
        }));
    }

    static Mono<Void> send(HttpServerResponse response, Reply.Buffered buffered) {
        response.status(buffered.status());
        response.responseHeaders().add(Admission.forwardedResponseHeaders(buffered.headers()));
        response.header(HttpHeaderNames.CONTENT_LENGTH, Integer.toString(buffered.body().length));
        return response.sendObject(Unpooled.wrappedBuffer(buffered.body())).then();
    }

    /** Sends a stream. If it fails, the connection is closed, so that the response does not look complete. */
    static Mono<Void> send(
            HttpServerResponse response, Reply.Streamed streamed, Counter flushes, Consumer<Throwable> onError) {
        response.status(streamed.status());
        response.responseHeaders().add(Admission.forwardedResponseHeaders(streamed.headers()));
        response.chunkedTransfer(true);
        return sendEvents(response, streamed, flushes).doOnError(error -> {
            onError.accept(error);
            response.withConnection(connection -> connection.channel().close());
        });
    }

    private static Mono<Void> sendEvents(HttpServerResponse response, Reply.Streamed streamed, Counter flushes) {
        return StreamSender.send(Flux.from(streamed.events()), events -> {
            if (EventWriter.isApplicable(response)) {
                return response.then(new EventWriter(events, EventWriter.channel(response), flushes))
                        .then();
            }
            Flux<ByteBuf> buffers = events.map(Unpooled::wrappedBuffer);
            return response.send(ByteBufFlux.fromInbound(buffers), buffer -> true)
                    .then();
        });
    }
}
