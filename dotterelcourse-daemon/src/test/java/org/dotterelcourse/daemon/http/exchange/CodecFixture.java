package org.dotterelcourse.daemon.http.exchange;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import reactor.netty.Connection;

/** A connection with the codec on a channel in memory, to a server that echoes the request header {@code Id}. */
final class CodecFixture {
    static final String ID = "Id";

    private final List<ResponseFault> faults = new ArrayList<>();
    private final List<Throwable> errors = new ArrayList<>();
    private final List<Delivery> deliveries = new ArrayList<>();
    private final EmbeddedChannel channel =
            new EmbeddedChannel(new ExchangeCodec(new EchoedId(), faults::add), new Collector());

    /** What was delivered of a response. */
    static final class Delivery {
        private final HttpResponse response;
        private final StringBuilder body = new StringBuilder();
        private HttpHeaders trailers;
        private boolean isWhole;

        private Delivery(HttpResponse response) {
            this.response = response;
        }

        int status() {
            return response.status().code();
        }

        HttpHeaders headers() {
            return response.headers();
        }

        String body() {
            return body.toString();
        }

        /** Returns the trailers; null before the end of the response. */
        HttpHeaders trailers() {
            return trailers;
        }

        /** Returns whether the end of the response was delivered, and nothing of it was invalid. */
        boolean isWhole() {
            return isWhole;
        }
    }

    private static final class EchoedId implements ResponseMatcher {
        @Override
        public String requestId(HttpHeaders request) {
            return request.get(ID, "");
        }

        @Override
        public Match match(String requestId, HttpHeaders response) {
            List<String> ids = response.getAll(ID);
            if (ids.isEmpty()) {
                return Match.UNIDENTIFIED;
            }
            if (ids.size() > 1) {
                return Match.AMBIGUOUS;
            }
            return ids.get(0).equals(requestId) ? Match.OWN : Match.FOREIGN;
        }
    }

    /** Collects what reaches the receiver of responses. */
    private final class Collector extends ChannelInboundHandlerAdapter {
        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            if (message instanceof HttpResponse response) {
                deliveries.add(new Delivery(response));
            }
            if (message instanceof HttpContent content) {
                Delivery delivery = deliveries.get(deliveries.size() - 1);
                delivery.body.append(content.content().toString(StandardCharsets.ISO_8859_1));
                if (message instanceof LastHttpContent last) {
                    delivery.trailers = last.trailingHeaders();
                    delivery.isWhole = last.decoderResult().isSuccess();
                }
            }
            ReferenceCountUtil.release(message);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            errors.add(cause);
        }
    }

    /** Sends a GET request with an id. */
    CodecFixture send(String id) {
        return send(HttpMethod.GET, id);
    }

    CodecFixture send(HttpMethod method, String id) {
        ChannelFuture future = trySend(method, id);
        if (!future.isSuccess()) {
            throw new AssertionError("the request was not sent", future.cause());
        }
        return this;
    }

    /** Sends a request and returns the result of its write. */
    ChannelFuture trySend(HttpMethod method, String id) {
        DefaultFullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, method, "/");
        request.headers().set(ID, id);
        ChannelFuture future = channel.writeAndFlush(request);
        channel.runPendingTasks();
        channel.releaseOutbound();
        return future;
    }

    /** Receives all bytes in one packet. */
    CodecFixture receive(String bytes) {
        return receive(bytes, Integer.MAX_VALUE);
    }

    /** Receives bytes in packets of a size until the connection is closed. */
    CodecFixture receive(String bytes, int packetBytes) {
        byte[] all = bytes.getBytes(StandardCharsets.ISO_8859_1);
        for (int start = 0;
                start < all.length && channel.isOpen();
                start += Math.min(packetBytes, all.length - start)) {
            int length = Math.min(packetBytes, all.length - start);
            channel.pipeline().fireChannelRead(Unpooled.copiedBuffer(all, start, length));
            channel.pipeline().fireChannelReadComplete();
            channel.runPendingTasks();
        }
        return this;
    }

    /** Plays the end of the connection by its server, in order. */
    CodecFixture end() {
        channel.pipeline().fireUserEventTriggered(ChannelInputShutdownEvent.INSTANCE);
        channel.runPendingTasks();
        return this;
    }

    /** Plays a reset that is met by a read, as the transport reports it. */
    CodecFixture reset() {
        channel.pipeline().fireExceptionCaught(new IOException("Connection reset"));
        return end();
    }

    /** Plays a connection that is closed for another reason than its end by the server. */
    CodecFixture breakOff() {
        channel.unsafe().close(channel.voidPromise());
        channel.runPendingTasks();
        return this;
    }

    /** Sends a request that stays in the buffers of this side until {@link #flushRequest()}. */
    CodecFixture beginRequest(String id) {
        DefaultFullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, "/");
        request.headers().set(ID, id);
        channel.write(request);
        return this;
    }

    /** Writes the request whole. */
    CodecFixture flushRequest() {
        channel.flush();
        channel.runPendingTasks();
        return this;
    }

    /** Plays a reset that is met by a write of the request, upon which the transport closes the connection. */
    CodecFixture failRequest() {
        channel.unsafe().outboundBuffer().addFlush();
        return breakOff();
    }

    List<Delivery> deliveries() {
        return deliveries;
    }

    List<Throwable> errors() {
        return errors;
    }

    List<ResponseFault> faults() {
        return faults;
    }

    List<ResponseFault.Kind> faultKinds() {
        return faults.stream().map(ResponseFault::kind).toList();
    }

    int exchangeCount() {
        return ExchangeCodec.exchangeCount(channel);
    }

    boolean isOpen() {
        return channel.isOpen();
    }

    /** Returns whether a pool keeps the connection for the next request. */
    boolean isReusable() {
        return channel.isOpen() && Connection.from(channel).isPersistent();
    }
}
