package org.dotterelcourse.gateway.edge;

import java.util.function.Consumer;

import com.codahale.metrics.Counter;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelOption;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpVersion;
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

    /**
     * Sends a stream in chunks, or until the end of the connection to a client that does not know chunks. If it fails, the
     * connection is closed without the last chunk, or reset, so that the response does not look complete.
     *
     * @param version the HTTP version of the request
     */
    static Mono<Void> send(
            HttpServerResponse response,
            HttpVersion version,
            Reply.Streamed streamed,
            Counter flushes,
            Consumer<Throwable> onError) {
        boolean isChunked = !version.equals(HttpVersion.HTTP_1_0);
        response.status(streamed.status());
        response.responseHeaders().add(Admission.forwardedResponseHeaders(streamed.headers()));
        response.chunkedTransfer(isChunked);
        if (!isChunked) {
            response.keepAlive(false);
        }
        return sendEvents(response, isChunked, streamed, flushes).doOnError(error -> {
            onError.accept(error);
            response.withConnection(connection -> {
                if (!isChunked) {
                    connection.channel().config().setOption(ChannelOption.SO_LINGER, 0);
                }
                connection.channel().close();
            });
        });
    }

    private static Mono<Void> sendEvents(
            HttpServerResponse response, boolean isChunked, Reply.Streamed streamed, Counter flushes) {
        return StreamSender.send(Flux.from(streamed.events()), events -> {
            if (isChunked && EventWriter.isApplicable(response)) {
                return response.then(new EventWriter(events, EventWriter.channel(response), flushes))
                        .then();
            }
            Flux<ByteBuf> buffers = events.map(Unpooled::wrappedBuffer);
            return response.send(ByteBufFlux.fromInbound(buffers), buffer -> true)
                    .then();
        });
    }
}
