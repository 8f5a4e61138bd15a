package org.dotterelcourse.standins;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;

/** A TCP target. */
final class TcpLink implements ProxyLink {
    private static final int BACKLOG = 4096;

    private final LinkFaults faults;
    private final InetSocketAddress target;
    private final Channel listener;
    private final Set<TcpPair> pairs = ConcurrentHashMap.newKeySet();

    TcpLink(EventLoopGroup loops, LinkFaults faults, int port, InetSocketAddress target) {
        this.faults = faults;
        this.target = target;
        this.listener = new ServerBootstrap()
                .group(loops)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .childOption(ChannelOption.AUTO_READ, false)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel client) {
                        accept(client);
                    }
                })
                .bind("127.0.0.1", port)
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
    public void cut() {
        pairs.forEach(TcpPair::reset);
    }

    @Override
    public void silenceOpen(Direction direction) {
        pairs.forEach(each -> each.silence(direction));
    }

    @Override
    public void silenceNew(Direction direction) {
        faults.silenceNew(direction);
    }

    @Override
    public void loss(double loss, double duplication) {
        faults.loss(loss, duplication);
    }

    @Override
    public void hold(Set<String> clients) {
        faults.hold(clients);
        pairs.forEach(TcpPair::reconsider);
    }

    @Override
    public void resume() {
        faults.resume();
        pairs.forEach(TcpPair::reconsider);
    }

    @Override
    public void recover() {
        faults.recover();
        pairs.forEach(TcpPair::reconsider);
    }

    @Override
    public Counts counts() {
        return new Counts(pairs.size(), faults.passed.get(), faults.swallowed.get());
    }

    @Override
    public void close() {
        listener.close().syncUninterruptibly();
        pairs.forEach(TcpPair::reset);
    }

    private void accept(SocketChannel client) {
        if (faults.refusesNew()) {
            client.config().setSoLinger(0);
            client.close();
            return;
        }
        TcpPair pair = new TcpPair(client, faults, pairs::remove);
        pairs.add(pair);
        if (faults.silentNew() != null) {
            pair.silence(faults.silentNew());
        }
        ChannelFuture connected = new Bootstrap()
                .group(client.eventLoop())
                .channel(NioSocketChannel.class)
                .option(ChannelOption.AUTO_READ, false)
                .option(ChannelOption.TCP_NODELAY, true)
                .handler(pair.downHandler())
                .connect(target);
        connected.addListener(done -> {
            if (connected.isSuccess()) {
                pair.open(connected.channel());
            } else {
                pair.reset();
            }
        });
    }
}
