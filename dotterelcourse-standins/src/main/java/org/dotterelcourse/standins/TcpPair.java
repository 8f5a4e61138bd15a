package org.dotterelcourse.standins;

import java.net.SocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.util.ReferenceCountUtil;

/** A client's connection and the one to the target that belongs to it; both live on one event loop. */
final class TcpPair {
    private record Delayed(long dueNanos, Runnable task) {}

    private static final long MAX_IN_FLIGHT = 1 << 20;

    private final Channel client;
    private final SocketAddress address;
    private final LinkFaults faults;
    private final Consumer<TcpPair> ended;
    private final Half up = new Half(true);
    private final Half down = new Half(false);
    private Channel target;
    private volatile ProxyLink.Direction silent;

    TcpPair(Channel client, LinkFaults faults, Consumer<TcpPair> ended) {
        this.client = client;
        this.address = client.remoteAddress();
        this.faults = faults;
        this.ended = ended;
        client.pipeline().addLast(up);
    }

    ChannelHandler downHandler() {
        return down;
    }

    void open(Channel connected) {
        target = connected;
        if (client.isActive()) {
            reconsider();
        } else {
            reset();
        }
    }

    void silence(ProxyLink.Direction direction) {
        silent = silent == null || silent == direction ? direction : ProxyLink.Direction.BOTH;
        reconsider();
    }

    void reset() {
        client.eventLoop().execute(() -> {
            reset(client);
            reset(target);
            ended.accept(this);
        });
    }

    /** Reads or stops reading, as the faults and the bytes on their way want it. */
    void reconsider() {
        client.eventLoop().execute(() -> {
            up.reconsider();
            down.reconsider();
            up.runDue();
            down.runDue();
        });
    }

    private boolean silent(boolean upwards) {
        ProxyLink.Direction now = silent;
        return now != null && now.covers(upwards);
    }

    private static void reset(Channel channel) {
        if (channel != null && channel.isOpen()) {
            channel.config().setOption(ChannelOption.SO_LINGER, 0);
            channel.close();
        }
    }

    /** One direction. */
    private final class Half extends ChannelInboundHandlerAdapter {
        private final boolean upwards;
        private final Deque<Delayed> delayed = new ArrayDeque<>();
        private long inFlight;

        private Half(boolean upwards) {
            this.upwards = upwards;
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            ByteBuf bytes = (ByteBuf) message;
            if (silent(upwards)) {
                faults.swallowed.addAndGet(bytes.readableBytes());
                bytes.release();
                return;
            }
            inFlight += bytes.readableBytes();
            later(() -> write(bytes));
            reconsider();
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            // A silent connection tells neither end that the other one has gone.
            if (!silent(upwards)) {
                later(this::closeOther);
            }
            if (!client.isOpen() && (target == null || !target.isOpen())) {
                ended.accept(TcpPair.this);
            }
        }

        @Override
        public void channelWritabilityChanged(ChannelHandlerContext context) {
            (upwards ? down : up).reconsider();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            // A reset on one side becomes a reset on the other, unless the connection is silent.
            if (!silent(upwards)) {
                reset(other());
            }
            context.close();
        }

        private Channel from() {
            return upwards ? client : target;
        }

        private Channel other() {
            return upwards ? target : client;
        }

        /** Keeps the order: a task waits for those before it, also when it is due itself. */
        private void later(Runnable task) {
            delayed.addLast(new Delayed(System.nanoTime() + faults.nextDelayNanos(), task));
            if (delayed.size() == 1) {
                runDue();
            }
        }

        private void runDue() {
            while (!delayed.isEmpty() && !faults.holds(address)) {
                long wait = delayed.peekFirst().dueNanos - System.nanoTime();
                if (wait > 0) {
                    client.eventLoop().schedule(this::runDue, wait, TimeUnit.NANOSECONDS);
                    return;
                }
                delayed.peekFirst().task.run();
                delayed.removeFirst();
            }
        }

        private void write(ByteBuf bytes) {
            int size = bytes.readableBytes();
            inFlight -= size;
            if (silent(upwards) || other() == null || !other().isOpen()) {
                faults.swallowed.addAndGet(size);
                ReferenceCountUtil.release(bytes);
            } else {
                faults.passed.addAndGet(size);
                other().writeAndFlush(bytes);
            }
            reconsider();
        }

        private void closeOther() {
            if (other() != null) {
                // A plain close would drop what is still queued.
                other().writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE);
            }
            ended.accept(TcpPair.this);
        }

        private void reconsider() {
            if (target == null || from() == null) {
                return;
            }
            boolean room = inFlight < MAX_IN_FLIGHT && (other().isWritable() || silent(upwards));
            from().config().setAutoRead(room && !faults.holds(address));
        }
    }
}
