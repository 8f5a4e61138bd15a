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
 * Closes a kept connection on which something arrives while no request is out. Some workers send a second answer after
 * the first; its beginning would be dropped unseen, and its rest be joined with the next request's answer.
 */
final class IdleGuard extends ChannelInboundHandlerAdapter {
    private static final Logger LOG = Logger.getLogger(IdleGuard.class);

    private boolean idle;

    /** Puts a guard between the codec and the handler that hands answers on, which takes all that comes. */
    static void add(Channel channel) {
        channel.pipeline().addBefore(NettyPipeline.ReactiveBridge, null, new IdleGuard());
    }

    /** Follows a connection's life: it is idle from an answer's end until the next request is prepared. */
    static void observe(Connection connection, ConnectionObserver.State state) {
        IdleGuard guard = connection.channel().pipeline().get(IdleGuard.class);
        if (guard == null) {
            return;
        }
        if (state == HttpClientState.RESPONSE_COMPLETED) {
            guard.idle = true;
        } else if (state == ConnectionObserver.State.CONFIGURED) {
            guard.idle = false;
        }
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        if (!idle) {
            context.fireChannelRead(message);
            return;
        }
        ReferenceCountUtil.release(message);
        LOG.debugf(
                "something arrived on the idle connection to %s, it is closed",
                context.channel().remoteAddress());
        context.close();
    }
}
