package org.dotterelcourse.daemon.http.exchange;

import java.io.IOException;
import java.util.List;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelPromise;
import io.netty.channel.CombinedChannelDuplexHandler;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.LastHttpContent;
import reactor.netty.NettyPipeline;

/**
 * The HTTP/1.1 codec of a client connection. Delivers a response only if it began after a request was sent, has one valid
 * head, and identifies that request ({@link ResponseMatcher}); otherwise the connection is closed, and the request, which
 * may have been executed, fails with an {@link InvalidResponseException}. Some servers send a second response, whole or
 * not, late or at once: an ordinary codec reads its beginning and the next response as one head.
 *
 * <p>A response that ends with its connection is whole only if the server ended the connection in order and the request was
 * written without an error.
 */
public final class ExchangeCodec extends CombinedChannelDuplexHandler<ResponseDecoder, HttpRequestEncoder> {
    private final ResponseDecoder decoder;

    private ExchangeCodec(ResponseDecoder decoder) {
        super(decoder, new RequestEncoder(decoder));
        this.decoder = decoder;
    }

    /**
     * Creates a codec for one connection.
     *
     * @param matcher identifies the response to a request
     * @param listener is notified of each violation of the framing
     */
    public ExchangeCodec(ResponseMatcher matcher, ResponseFaultListener listener) {
        this(new ResponseDecoder(matcher, listener));
    }

    /**
     * Replaces the HTTP codec in the pipeline of a new connection of Reactor Netty.
     *
     * @param channel the channel of the connection
     * @param matcher identifies the response to a request
     * @param listener is notified of each violation of the framing
     */
    public static void install(Channel channel, ResponseMatcher matcher, ResponseFaultListener listener) {
        // The end of the server's side is an event of its own then, which differs from a connection that fails.
        channel.config().setOption(ChannelOption.ALLOW_HALF_CLOSURE, true);
        channel.pipeline()
                .replace(NettyPipeline.HttpCodec, NettyPipeline.HttpCodec, new ExchangeCodec(matcher, listener));
    }

    /**
     * Returns how many requests were sent on a connection.
     *
     * @param channel a channel with this codec
     * @return the number so far
     */
    public static int exchangeCount(Channel channel) {
        ExchangeCodec codec = channel.pipeline().get(ExchangeCodec.class);
        return codec == null ? 0 : codec.decoder.exchangeCount();
    }

    @Override
    public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) throws Exception {
        boolean isLast = message instanceof LastHttpContent;
        ChannelPromise observed = promise.unvoid().addListener(written -> {
            if (!written.isSuccess()) {
                decoder.failRequest(context);
            } else if (isLast) {
                decoder.endRequest(context);
            }
        });
        super.write(context, message, observed);
    }

    @Override
    public void close(ChannelHandlerContext context, ChannelPromise promise) throws Exception {
        decoder.endConnection();
        super.close(context, promise);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) throws Exception {
        if (cause instanceof IOException) {
            decoder.failConnection(context);
        }
        super.exceptionCaught(context, cause);
    }

    /** Encodes requests and tells the decoder of them. */
    private static final class RequestEncoder extends HttpRequestEncoder {
        private final ResponseDecoder decoder;

        private RequestEncoder(ResponseDecoder decoder) {
            this.decoder = decoder;
        }

        @Override
        protected void encode(ChannelHandlerContext context, Object message, List<Object> out) throws Exception {
            if (message instanceof HttpRequest request) {
                decoder.beginExchange(context, request);
            }
            super.encode(context, message, out);
        }
    }
}
