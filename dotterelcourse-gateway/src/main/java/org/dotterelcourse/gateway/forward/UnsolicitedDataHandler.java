package org.dotterelcourse.gateway.forward;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.util.ReferenceCountUtil;
import org.jboss.logging.Logger;
import reactor.netty.Connection;
import reactor.netty.ConnectionObserver;
import reactor.netty.NettyPipeline;
import reactor.netty.http.client.HttpClientState;

/**
 * Closes a pooled connection on which data arrives while no request is in flight. Some workers send a second response
 * after the first. Without this handler, its beginning would be silently dropped and the remainder be taken for part of
 * the response to the next request.
 */
final class UnsolicitedDataHandler extends ChannelInboundHandlerAdapter {
    private static final Logger LOG = Logger.getLogger(UnsolicitedDataHandler.class);

    private boolean isIdle;
    private boolean isUsed;

    /** Adds a handler between the HTTP codec and Reactor Netty's own handler, which would consume all messages. */
    static void install(Channel channel) {
        channel.pipeline().addBefore(NettyPipeline.ReactiveBridge, null, new UnsolicitedDataHandler());
    }

    /** Tracks whether the connection is idle: from the end of a response until the next request is prepared. */
    static void updateIdleState(Connection connection, ConnectionObserver.State state) {
        UnsolicitedDataHandler handler = connection.channel().pipeline().get(UnsolicitedDataHandler.class);
        if (handler == null) {
            return;
        }
        if (state == HttpClientState.RESPONSE_COMPLETED) {
            handler.isIdle = true;
        } else if (state == ConnectionObserver.State.CONFIGURED) {
            handler.isIdle = false;
        }
    }

    /** Returns whether no request was sent on the connection before, and records that one is sent now. */
    static boolean isFirstRequest(Connection connection) {
        UnsolicitedDataHandler handler = connection.channel().pipeline().get(UnsolicitedDataHandler.class);
        boolean first = handler != null && !handler.isUsed;
        if (handler != null) {
            handler.isUsed = true;
        }
        return first;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        if (!isIdle) {
            context.fireChannelRead(message);
            return;
        }
        ReferenceCountUtil.release(message);
        LOG.debugf(
                "received data on the idle connection to %s; closing the connection",
                context.channel().remoteAddress());
        context.close();
    }
}
