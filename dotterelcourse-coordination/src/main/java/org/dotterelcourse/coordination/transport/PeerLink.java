package org.dotterelcourse.coordination.transport;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;

import org.dotterelcourse.coordination.transport.generated.Envelope;

/**
 * Manages the TCP connections to one peer: the connection in use, the queue of unsent messages, and reconnection with
 * randomized exponential backoff. The queue is bounded in length and in age, so that an unreachable peer neither uses
 * unbounded memory nor receives a burst of outdated messages once it is reachable again.
 */
final class PeerLink {

    private final PeerTransport transport;
    private final TransportLimits limits;
    private final InetSocketAddress peer;
    private final Deque<QueuedEnvelope> queue = new ArrayDeque<>();
    private PeerConnection current;
    private boolean connecting;
    private boolean waitingToRetry;
    private final Deque<Envelope> replacementQueue = new ArrayDeque<>();
    private boolean connectingReplacement;
    private long backoffNanos;

    PeerLink(PeerTransport transport, InetSocketAddress peer) {
        this.transport = transport;
        this.limits = transport.limits();
        this.peer = peer;
        this.backoffNanos = limits.initialBackoffNanos();
    }

    void send(Envelope envelope) {
        if (queue.size() >= limits.maxQueuedMessages()) {
            drop(queue.removeFirst());
        }
        queue.addLast(new QueuedEnvelope(envelope, transport.nanoTime()));
        flushQueue();
    }

    /**
     * Sends an envelope on a new connection, which then replaces the current one. Used for the last probe before a peer
     * is suspected: if a middlebox has lost the state of the current connection, a healthy peer would look dead.
     *
     * <p>The current connection stays in use until the new one is open, and is then read for one more heartbeat period.
     * Most such probes follow a single lost datagram, which must not cost the messages in flight on the current
     * connection.
     */
    void sendOnNewConnection(Envelope envelope) {
        if (replacementQueue.size() >= limits.maxQueuedMessages()) {
            transport.counters().recordDropped(replacementQueue.removeFirst().getChannel());
        }
        replacementQueue.addLast(envelope);
        if (!connectingReplacement) {
            connectingReplacement = true;
            transport.connect(peer, true);
        }
    }

    void flushQueue() {
        dropExpired();
        if (current == null) {
            connect();
            return;
        }
        while (!queue.isEmpty() && current.isWritable()) {
            current.writeMessage(queue.removeFirst().envelope);
        }
    }

    void onConnected(PeerConnection connection) {
        backoffNanos = limits.initialBackoffNanos();
        connection.sendHello();
        if (connection.isReplacement()) {
            connectingReplacement = false;
            while (!replacementQueue.isEmpty()) {
                connection.writeMessage(replacementQueue.removeFirst());
            }
        } else {
            connecting = false;
        }
        switchTo(connection);
    }

    /**
     * Decides whether to use a connection that the peer opened. If both sides connect at the same time, each keeps its
     * own connection, so that neither closes the other's. A replacement is always used, since the peer no longer trusts
     * the old connection.
     *
     * @param connection the inbound connection
     * @param peerRequestsReplacement whether the peer opened it to replace the current one
     */
    void onInboundConnection(PeerConnection connection, boolean peerRequestsReplacement) {
        if (current == null || !current.isOutbound() || peerRequestsReplacement) {
            switchTo(connection);
        }
    }

    /**
     * Handles a failed connection attempt. A replacement is not retried and its messages are dropped; otherwise the next
     * attempt follows after the backoff, which is then doubled.
     *
     * @param replacement whether the connection was to replace the current one
     */
    void onConnectFailed(boolean replacement) {
        if (replacement) {
            connectingReplacement = false;
            replacementQueue.forEach(envelope -> transport.counters().recordDropped(envelope.getChannel()));
            replacementQueue.clear();
            return;
        }
        connecting = false;
        waitingToRetry = true;
        long delayNanos = backoffNanos / 2 + transport.random().nextLong(backoffNanos / 2 + 1);
        backoffNanos = Math.min(2 * backoffNanos, limits.maxBackoffNanos());
        transport.schedule(this::retry, delayNanos);
    }

    void onClosed(PeerConnection connection) {
        if (current == connection) {
            current = null;
            flushQueue();
        }
    }

    /** Returns whether the link has no connection, no queued messages and no pending attempt, and can be evicted. */
    boolean isIdle() {
        return current == null && queue.isEmpty() && !connectingReplacement && !connecting && !waitingToRetry;
    }

    private void switchTo(PeerConnection connection) {
        PeerConnection old = current;
        current = connection;
        if (old != null && old != connection) {
            old.retire();
        }
        flushQueue();
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
        flushQueue();
    }

    private void dropExpired() {
        long now = transport.nanoTime();
        while (!queue.isEmpty() && now - queue.peekFirst().enqueuedNanos > limits.maxQueueAgeNanos()) {
            drop(queue.removeFirst());
        }
    }

    private void drop(QueuedEnvelope queued) {
        transport.counters().recordDropped(queued.envelope.getChannel());
    }

    private record QueuedEnvelope(Envelope envelope, long enqueuedNanos) {}
}
