package org.dotterelcourse.coordination.transport;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/** Passes TCP connections on, and can swallow the bytes of those open at a moment, in either direction, for good. */
final class TcpRelay implements AutoCloseable {

    private final InetSocketAddress target;
    private final ServerSocket server;
    private final List<Pair> pairs = new CopyOnWriteArrayList<>();

    TcpRelay(InetSocketAddress target) throws IOException {
        this.target = target;
        this.server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        daemon(this::accept);
    }

    InetSocketAddress address() {
        return new InetSocketAddress(server.getInetAddress(), server.getLocalPort());
    }

    int accepted() {
        return pairs.size();
    }

    void swallowOpen(boolean forward, boolean backward) {
        for (Pair pair : pairs) {
            pair.swallowForward |= forward;
            pair.swallowBackward |= backward;
        }
    }

    @Override
    public void close() throws IOException {
        server.close();
        for (Pair pair : pairs) {
            pair.client.close();
            pair.upstream.close();
        }
    }

    private void accept() {
        try {
            while (true) {
                Pair pair = new Pair(server.accept(), new Socket(target.getAddress(), target.getPort()));
                pairs.add(pair);
                daemon(() -> pump(pair, pair.client, pair.upstream, true));
                daemon(() -> pump(pair, pair.upstream, pair.client, false));
            }
        } catch (IOException e) {
            // The relay or its target is closed.
            return;
        }
    }

    private static void pump(Pair pair, Socket from, Socket to, boolean forward) {
        byte[] buffer = new byte[8_192];
        try (InputStream in = from.getInputStream();
                OutputStream out = to.getOutputStream()) {
            for (int count = in.read(buffer); count >= 0; count = in.read(buffer)) {
                if (!(forward ? pair.swallowForward : pair.swallowBackward)) {
                    out.write(buffer, 0, count);
                }
            }
        } catch (IOException e) {
            // One side is closed; the other is closed with its streams.
            return;
        }
    }

    private static void daemon(Runnable task) {
        Thread thread = new Thread(task, "relay");
        thread.setDaemon(true);
        thread.start();
    }

    private static final class Pair {
        private final Socket client;
        private final Socket upstream;
        private volatile boolean swallowForward;
        private volatile boolean swallowBackward;

        private Pair(Socket client, Socket upstream) {
            this.client = client;
            this.upstream = upstream;
        }
    }
}
