package org.dotterelcourse.standins;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;

/**
 * A proxy that injects faults between two ends that know nothing of it: one listening port for each target, TCP or UDP.
 * Faults are switched at run time, in-process or by {@link ProxyControl}.
 */
public final class FaultProxy implements AutoCloseable {
    private static final int THREADS = 2;
    private static final long CLOSE_SECONDS = 3;

    private final EventLoopGroup loops = new MultiThreadIoEventLoopGroup(THREADS, NioIoHandler.newFactory());
    private final SplittableRandom random;
    private final Map<String, ProxyLink> links = new LinkedHashMap<>();

    /**
     * Makes a proxy without targets.
     *
     * @param seed the seed of its random choices
     */
    public FaultProxy(long seed) {
        random = new SplittableRandom(seed);
    }

    /**
     * Adds a TCP target and listens for it.
     *
     * @param name the link's name
     * @param port the port to listen on, 0 for any free one
     * @param target the target's IP number and port, on loopback
     * @return the address to connect to
     * @throws IllegalArgumentException if the target is not on loopback or the name is taken
     */
    public String tcp(String name, int port, String target) {
        return add(name, new TcpLink(loops, LinkFaults.none(random.split()), port, Loopback.parse(target)));
    }

    /**
     * Adds a UDP target and listens for it.
     *
     * @param name the link's name
     * @param port the port to listen on, 0 for any free one
     * @param target the target's IP number and port, on loopback
     * @return the address to send to
     * @throws IllegalArgumentException if the target is not on loopback or the name is taken
     */
    public String udp(String name, int port, String target) {
        return add(name, new UdpLink(loops, LinkFaults.none(random.split()), port, Loopback.parse(target)));
    }

    /**
     * A link, to switch its faults.
     *
     * @param name its name
     * @return the link
     * @throws IllegalArgumentException if there is none of that name
     */
    public synchronized ProxyLink link(String name) {
        ProxyLink link = links.get(name);
        if (link == null) {
            throw new IllegalArgumentException("no link is named " + name + "; known: " + links.keySet());
        }
        return link;
    }

    /**
     * Cuts a group of targets off from a group of clients, until {@link #heal}. TCP bytes are held, as a sender's kernel
     * would hold and repeat them; datagrams are lost.
     *
     * @param clients the clients' IP numbers; empty for all
     * @param names the links
     * @throws IllegalArgumentException if there is no link of one of the names
     */
    public synchronized void partition(Set<String> clients, Set<String> names) {
        for (String each : names) {
            link(each).hold(clients);
        }
    }

    /** Ends all partitions; what TCP held goes on. */
    public synchronized void heal() {
        links.values().forEach(ProxyLink::resume);
    }

    /** Closes all ports and connections. */
    @Override
    public void close() {
        synchronized (this) {
            links.values().forEach(ProxyLink::close);
        }
        loops.shutdownGracefully(0, CLOSE_SECONDS, TimeUnit.SECONDS).awaitUninterruptibly();
    }

    synchronized ObjectNode describe() {
        ObjectNode all = Json.object();
        links.forEach((name, link) -> {
            ProxyLink.Counts counts = link.counts();
            all.putObject(name)
                    .put("address", link.address())
                    .put("open", counts.open())
                    .put("passed", counts.passed())
                    .put("swallowed", counts.swallowed());
        });
        return all;
    }

    private synchronized String add(String name, ProxyLink link) {
        if (links.putIfAbsent(name, link) != null) {
            link.close();
            throw new IllegalArgumentException("two links are named " + name);
        }
        return link.address();
    }
}
