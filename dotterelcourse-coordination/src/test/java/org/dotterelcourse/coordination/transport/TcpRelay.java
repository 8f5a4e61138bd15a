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

/**
 * Relays TCP connections to a target. Can permanently discard the data of all open connections, in either direction, as a
 * middlebox does that has lost their state.
 */
final class TcpRelay implements AutoCloseable {

    private final InetSocketAddress target;
    private final ServerSocket server;
    private final List<RelayedConnection> connections = new CopyOnWriteArrayList<>();

    TcpRelay(InetSocketAddress target) throws IOException {
        this.target = target;
        this.server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        startDaemonThread(this::acceptConnections);
    }

    InetSocketAddress address() {
        return new InetSocketAddress(server.getInetAddress(), server.getLocalPort());
    }

    int acceptedCount() {
        return connections.size();
    }

    void discardOnOpenConnections(boolean forward, boolean backward) {
        for (RelayedConnection connection : connections) {
            connection.discardForward |= forward;
            connection.discardBackward |= backward;
        }
    }

    @Override
    public void close() throws IOException {
        server.close();
        for (RelayedConnection connection : connections) {
            connection.client.close();
            connection.toTarget.close();
        }
    }

    private void acceptConnections() {
        try {
            while (true) {
                RelayedConnection connection =
                        new RelayedConnection(server.accept(), new Socket(target.getAddress(), target.getPort()));
                connections.add(connection);
                startDaemonThread(() -> copy(connection, connection.client, connection.toTarget, true));
                startDaemonThread(() -> copy(connection, connection.toTarget, connection.client, false));
            }
        } catch (IOException e) {
            // The relay or its target is closed.
            return;
        }
    }

    private static void copy(RelayedConnection connection, Socket from, Socket to, boolean forward) {
        byte[] buffer = new byte[8_192];
        try (InputStream in = from.getInputStream();
                OutputStream out = to.getOutputStream()) {
            for (int count = in.read(buffer); count >= 0; count = in.read(buffer)) {
                if (!(forward ? connection.discardForward : connection.discardBackward)) {
                    out.write(buffer, 0, count);
                }
            }
        } catch (IOException e) {
            // One side is closed. Closing the streams closes the other side as well.
            return;
        }
    }

    private static void startDaemonThread(Runnable task) {
        Thread thread = new Thread(task, "relay");
        thread.setDaemon(true);
        thread.start();
    }

    private static final class RelayedConnection {
        private final Socket client;
        private final Socket toTarget;
        private volatile boolean discardForward;
        private volatile boolean discardBackward;

        private RelayedConnection(Socket client, Socket toTarget) {
            this.client = client;
            this.toTarget = toTarget;
        }
    }
}
