package org.dotterelcourse.coordination.transport;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;

import org.dotterelcourse.coordination.transport.generated.Envelope;

/**
 * The way to one peer: the connection in use, the messages that wait for one, and the pace of attempts to connect. The
 * queue is bounded in number and in age: a peer that is away must cost neither memory nor, once it is back, a burst of
 * messages that nobody waits for any more.
 */
final class PeerLink {

    private final PeerTransport transport;
    private final TransportLimits limits;
    private final InetSocketAddress peer;
    private final Deque<Waiting> queue = new ArrayDeque<>();
    private PeerConnection current;
    private boolean connecting;
    private boolean waitingToRetry;
    private final Deque<Envelope> freshQueue = new ArrayDeque<>();
    private boolean freshConnecting;
    private long backoffNanos;

    PeerLink(PeerTransport transport, InetSocketAddress peer) {
        this.transport = transport;
        this.limits = transport.limits();
        this.peer = peer;
        this.backoffNanos = limits.backoffNanos();
    }

    void send(Envelope envelope) {
        if (queue.size() >= limits.queueMessages()) {
            drop(queue.removeFirst());
        }
        queue.addLast(new Waiting(envelope, transport.nanoTime()));
        drain();
    }

    /**
     * Sends on a new connection. A connection that has gone silent makes a healthy peer look dead; so the last word
     * before a suspicion goes by a connection that nothing between the two ends can have forgotten. The kept connection
     * stays until the new one is there, and is then read to its end: most doubts are unfounded, and what others have
     * under way on it must not be lost for a single lost datagram.
     */
    void sendOnNewConnection(Envelope envelope) {
        if (freshQueue.size() >= limits.queueMessages()) {
            transport.counters().dropped(freshQueue.removeFirst().getChannel());
        }
        freshQueue.addLast(envelope);
        if (!freshConnecting) {
            freshConnecting = true;
            transport.connect(peer, true);
        }
    }

    void drain() {
        dropAged();
        if (current == null) {
            connect();
            return;
        }
        while (!queue.isEmpty() && current.writable()) {
            current.writeMessage(queue.removeFirst().envelope);
        }
    }

    void connected(PeerConnection connection) {
        backoffNanos = limits.backoffNanos();
        connection.hello();
        if (connection.fresh()) {
            freshConnecting = false;
            while (!freshQueue.isEmpty()) {
                connection.writeMessage(freshQueue.removeFirst());
            }
        } else {
            connecting = false;
        }
        replace(connection);
    }

    /**
     * Takes a connection that the peer opened. When both sides open one at the same time, each keeps its own, so that
     * neither closes the other's; a fresh one always wins, since its opener doubts the old one.
     */
    void adopt(PeerConnection connection, boolean peerDoubtsOld) {
        if (current == null || !current.outbound() || peerDoubtsOld) {
            replace(connection);
        }
    }

    /** The connection attempt failed: waits, and doubles the wait for the next time. */
    void connectFailed(boolean fresh) {
        if (fresh) {
            freshConnecting = false;
            freshQueue.forEach(envelope -> transport.counters().dropped(envelope.getChannel()));
            freshQueue.clear();
            return;
        }
        connecting = false;
        waitingToRetry = true;
        long wait = backoffNanos / 2 + transport.random().nextLong(backoffNanos / 2 + 1);
        backoffNanos = Math.min(2 * backoffNanos, limits.backoffCeilingNanos());
        transport.schedule(this::retry, wait);
    }

    void closed(PeerConnection connection) {
        if (current == connection) {
            current = null;
            drain();
        }
    }

    /** Whether nothing would be lost by forgetting this link. */
    boolean idle() {
        return current == null && queue.isEmpty() && !freshConnecting && !connecting && !waitingToRetry;
    }

    private void replace(PeerConnection connection) {
        PeerConnection old = current;
        current = connection;
        if (old != null && old != connection) {
            old.retire();
        }
        drain();
    }

    private void connect() {
        if (queue.isEmpty() || connecting || waitingToRetry) {
            return;
        }
        connecting = true;
        transport.connect(peer, false);
    }

    private void retry() {
        waitingToRetry = false;
        drain();
    }

    private void dropAged() {
        long now = transport.nanoTime();
        while (!queue.isEmpty() && now - queue.peekFirst().sinceNanos > limits.queueAgeNanos()) {
            drop(queue.removeFirst());
        }
    }

    private void drop(Waiting waiting) {
        transport.counters().dropped(waiting.envelope.getChannel());
    }

    private record Waiting(Envelope envelope, long sinceNanos) {}
}
