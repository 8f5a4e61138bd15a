package org.dotterelcourse.gateway.forward;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.util.ReferenceCountUtil;
import org.jboss.logging.Logger;
import reactor.netty.Connection;
import reactor.netty.ConnectionObserver;

/**
 * Closes a kept connection on which something arrives while no request is out. Some workers send a second answer after
 * the first; its beginning would be dropped unseen, and its rest be joined with the next request's answer.
 */
final class IdleGuard extends ChannelInboundHandlerAdapter {
    private static final Logger LOG = Logger.getLogger(IdleGuard.class);

    private boolean idle;

    /** Follows a connection's life. */
    static void observe(Connection connection, ConnectionObserver.State state) {
        IdleGuard guard = connection.channel().pipeline().get(IdleGuard.class);
        if (guard == null) {
            return;
        }
        if (state == ConnectionObserver.State.RELEASED) {
            guard.idle = true;
        } else if (state == ConnectionObserver.State.ACQUIRED || state == ConnectionObserver.State.CONNECTED) {
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
