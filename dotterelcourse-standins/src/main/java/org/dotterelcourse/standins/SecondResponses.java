package org.dotterelcourse.standins;

import java.nio.charset.StandardCharsets;
import java.util.function.BooleanSupplier;
import java.util.random.RandomGenerator;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.LastHttpContent;
import reactor.netty.Connection;
import reactor.netty.NettyPipeline;

/**
 * Sends a second response after each response of a connection, whole or cut at any byte: with the first one, or before the
 * response to the next request.
 */
final class SecondResponses extends ChannelOutboundHandlerAdapter {
    private static final String BODY = "second";

    private final BooleanSupplier isActive;
    private final RandomGenerator random = RandomGenerator.getDefault();
    private String requestId = "";
    private String pending = "";

    private SecondResponses(BooleanSupplier isActive) {
        this.isActive = isActive;
    }

    /** Adds the handler to a connection; it sends nothing while it is not active. */
    static void install(Connection connection, BooleanSupplier isActive) {
        connection
                .channel()
                .pipeline()
                .addAfter(NettyPipeline.HttpCodec, SecondResponses.class.getName(), new SecondResponses(isActive));
    }

    @Override
    public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
        if (message instanceof HttpResponse response) {
            requestId = response.headers().get(Replies.REQUEST_ID, "");
            writePastCodec(context, pending);
            pending = "";
        }
        context.write(message, promise);
        if (message instanceof LastHttpContent && isActive.getAsBoolean()) {
            String second = second();
            if (random.nextBoolean()) {
                pending = second;
            } else {
                writePastCodec(context, second);
            }
        }
    }

    private String second() {
        String response = "HTTP/1.1 " + (random.nextBoolean() ? "200 OK" : "500 Error") + "\r\n" + Replies.REQUEST_ID
                + ": " + requestId + "\r\nContent-Length: " + BODY.length() + "\r\n\r\n" + BODY;
        return random.nextBoolean() ? response : response.substring(0, 1 + random.nextInt(response.length()));
    }

    private static void writePastCodec(ChannelHandlerContext context, String text) {
        context.pipeline()
                .context(NettyPipeline.HttpCodec)
                .write(Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII));
    }
}
