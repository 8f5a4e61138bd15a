package org.dotterelcourse.gateway.edge;

import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicReference;

import com.codahale.metrics.Counter;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import org.reactivestreams.Publisher;
import org.reactivestreams.Subscription;
import reactor.core.CoreSubscriber;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Operators;
import reactor.netty.NettyPipeline;
import reactor.netty.channel.AbortedException;
import reactor.netty.http.server.HttpServerResponse;
import reactor.util.context.Context;

/**
 * Writes a stream to a client as chunks of RFC 9112, 7.1, each with one flush, as it arrives. The response's headers must
 * have been written with {@code Transfer-Encoding: chunked}, and the HTTP server writes the last chunk when this publisher
 * completes. Must be subscribed on the gateway's event loop.
 *
 * <p>Each chunk is one buffer that is written behind the HTTP codec. The codec would make three buffers of it, which need
 * a promise each and a gathering write.
 */
final class EventWriter extends Mono<Void> {
    /** Number of items requested at a time while the client reads fast enough; also limits what waits for a slow one. */
    private static final int WINDOW = 16;

    private static final byte[] LINE_END = {'\r', '\n'};

    /** Hexadecimal digits of a length and two line ends. */
    private static final int MAX_FRAMING_BYTES = 12;

    private final Publisher<byte[]> events;
    private final Channel channel;
    private final Counter flushes;

    /**
     * Creates a writer.
     *
     * @param events the items to write, none of them empty
     * @param channel the client's connection
     * @param flushes counts the flushes, each of which costs a system call
     */
    EventWriter(Publisher<byte[]> events, Channel channel, Counter flushes) {
        this.events = events;
        this.channel = channel;
        this.flushes = flushes;
    }

    /** Returns whether the codec would write the items of a response as chunks, whatever its request and status. */
    static boolean isApplicable(HttpServerResponse response) {
        return response.status().equals(HttpResponseStatus.OK)
                && response.version().equals(HttpVersion.HTTP_1_1)
                && !response.method().equals(HttpMethod.HEAD);
    }

    /** Returns the connection of a response. */
    static Channel channel(HttpServerResponse response) {
        AtomicReference<Channel> channel = new AtomicReference<>();
        response.withConnection(connection -> channel.set(connection.channel()));
        return channel.get();
    }

    @Override
    public void subscribe(CoreSubscriber<? super Void> actual) {
        events.subscribe(new Writer(actual, channel.pipeline().context(NettyPipeline.HttpCodec)));
    }

    /** The subscription of one response. */
    private final class Writer implements CoreSubscriber<byte[]>, Subscription {
        private final CoreSubscriber<? super Void> actual;
        private final ChannelHandlerContext codec;
        private Subscription upstream;
        private int requested;
        private boolean isWaiting;

        private Writer(CoreSubscriber<? super Void> actual, ChannelHandlerContext codec) {
            this.actual = actual;
            this.codec = codec;
        }

        @Override
        public Context currentContext() {
            return actual.currentContext();
        }

        @Override
        public void onSubscribe(Subscription subscription) {
            upstream = subscription;
            if (codec == null) {
                // The pipeline of a closed connection is empty.
                upstream.cancel();
                Operators.error(actual, AbortedException.beforeSend());
                return;
            }
            actual.onSubscribe(this);
            requestMore();
        }

        @Override
        public void onNext(byte[] bytes) {
            requested--;
            flushes.inc();
            // A failed write closes the connection, which cancels this subscription.
            codec.writeAndFlush(chunk(bytes));
            if (channel.isWritable()) {
                requestMore();
            } else if (!isWaiting) {
                isWaiting = true;
                codec.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(written -> {
                    isWaiting = false;
                    requestMore();
                });
            }
        }

        @Override
        public void onError(Throwable error) {
            actual.onError(error);
        }

        @Override
        public void onComplete() {
            actual.onComplete();
        }

        @Override
        public void request(long count) {
            // The result has no items; demand for events follows from what the client has received.
        }

        @Override
        public void cancel() {
            upstream.cancel();
        }

        private void requestMore() {
            if (requested <= WINDOW / 2) {
                int count = WINDOW - requested;
                requested = WINDOW;
                upstream.request(count);
            }
        }

        private ByteBuf chunk(byte[] bytes) {
            ByteBuf chunk = channel.alloc().directBuffer(bytes.length + MAX_FRAMING_BYTES);
            chunk.writeCharSequence(Integer.toHexString(bytes.length), StandardCharsets.US_ASCII);
            return chunk.writeBytes(LINE_END).writeBytes(bytes).writeBytes(LINE_END);
        }
    }
}
