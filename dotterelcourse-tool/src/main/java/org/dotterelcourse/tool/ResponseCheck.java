package org.dotterelcourse.tool;

import java.io.IOException;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.util.ReferenceCountUtil;

/** Fails a call whose response has an invalid status line or an unknown transfer coding, which the HTTP codec tolerates. */
final class ResponseCheck extends ChannelInboundHandlerAdapter {
    static final String NAME = "response-check";

    private static final int MIN_STATUS = 100;
    private static final int MAX_STATUS = 599;

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) throws Exception {
        if (message instanceof HttpResponse response && !isValid(response)) {
            ReferenceCountUtil.release(message);
            context.fireExceptionCaught(new IOException("sent something that is no HTTP/1.x response"));
            context.close();
            return;
        }
        super.channelRead(context, message);
    }

    private static boolean isValid(HttpResponse response) {
        int status = response.status().code();
        String encoding = response.headers().get(HttpHeaderNames.TRANSFER_ENCODING);
        return response.protocolVersion().majorVersion() == 1
                && status >= MIN_STATUS
                && status <= MAX_STATUS
                && (encoding == null || HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(encoding));
    }
}
