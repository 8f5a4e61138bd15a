package org.dotterelcourse.standins;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;

/**
 * A UDP target. Each client gets a socket of its own towards the target, so that the target can answer it; the least
 * recently opened goes when there are too many.
 */
final class UdpLink implements ProxyLink {
    private static final int MAX_CLIENTS = 1_024;
    private static final String LOCAL = "127.0.0.1";

    private final EventLoopGroup loops;
    private final LinkFaults faults;
    private final InetSocketAddress target;
    private final Channel listener;
    private final Map<InetSocketAddress, ChannelFuture> clients = new LinkedHashMap<>();
    private Direction silent;

    UdpLink(EventLoopGroup loops, LinkFaults faults, int port, InetSocketAddress target) {
        this.loops = loops;
        this.faults = faults;
        this.target = target;
        this.listener = bootstrap(new SimpleChannelInboundHandler<DatagramPacket>() {
                    @Override
                    protected void channelRead0(ChannelHandlerContext context, DatagramPacket packet) {
                        up(packet);
                    }
                })
                .bind(LOCAL, port)
                .syncUninterruptibly()
                .channel();
    }

    @Override
    public String address() {
        return Loopback.text((InetSocketAddress) listener.localAddress());
    }

    @Override
    public void delay(Duration base, Duration jitter) {
        faults.delay(base, jitter);
    }

    @Override
    public void refuseNew(boolean refuse) {
        faults.refuseNew(refuse);
    }

    @Override
    public synchronized void cut() {
        clients.values().forEach(each -> each.channel().close());
        clients.clear();
    }

    @Override
    public synchronized void silenceOpen(Direction direction) {
        silent = direction;
    }

    @Override
    public synchronized void silenceNew(Direction direction) {
        silent = direction;
    }

    @Override
    public void loss(double loss, double duplication) {
        faults.loss(loss, duplication);
    }

    @Override
    public void hold(Set<String> heldClients) {
        faults.hold(heldClients);
    }

    @Override
    public void resume() {
        faults.resume();
    }

    @Override
    public void recover() {
        faults.recover();
        synchronized (this) {
            silent = null;
        }
    }

    @Override
    public synchronized Counts counts() {
        return new Counts(clients.size(), faults.passed.get(), faults.swallowed.get());
    }

    @Override
    public void close() {
        listener.close().syncUninterruptibly();
        cut();
    }

    private void up(DatagramPacket packet) {
        ChannelFuture socket = socketOf(packet.sender());
        if (socket != null) {
            pass(true, packet.sender(), packet.content(), socket, target);
        }
    }

    private void pass(boolean up, InetSocketAddress client, ByteBuf content, ChannelFuture by, InetSocketAddress to) {
        if (silent(up) || faults.holds(client) || faults.loses()) {
            faults.swallowed.addAndGet(content.readableBytes());
            return;
        }
        int copies = faults.doubles() ? 2 : 1;
        for (int i = 0; i < copies; i++) {
            DatagramPacket packet = new DatagramPacket(content.retainedDuplicate(), to);
            faults.passed.addAndGet(content.readableBytes());
            long delay = faults.nextDelayNanos();
            by.addListener(bound -> by.channel()
                    .eventLoop()
                    .schedule(() -> by.channel().writeAndFlush(packet), delay, TimeUnit.NANOSECONDS));
        }
    }

    private synchronized boolean silent(boolean up) {
        return silent != null && silent.covers(up);
    }

    private synchronized ChannelFuture socketOf(InetSocketAddress client) {
        ChannelFuture known = clients.get(client);
        if (known != null || faults.refusesNew()) {
            return known;
        }
        if (clients.size() >= MAX_CLIENTS) {
            InetSocketAddress oldest = clients.keySet().iterator().next();
            clients.remove(oldest).channel().close();
        }
        ChannelFuture socket = bootstrap(new SimpleChannelInboundHandler<DatagramPacket>() {
                    @Override
                    protected void channelRead0(ChannelHandlerContext context, DatagramPacket packet) {
                        pass(false, client, packet.content(), listener.newSucceededFuture(), client);
                    }
                })
                .bind(LOCAL, 0);
        clients.put(client, socket);
        return socket;
    }

    private Bootstrap bootstrap(ChannelHandler handler) {
        return new Bootstrap().group(loops).channel(NioDatagramChannel.class).handler(handler);
    }
}
