package org.dotterelcourse.coordination.transport;

import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

import org.dotterelcourse.coordination.MemberId;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

class PeerTransportTest {

    private static final String CHANNEL = "test";
    private static final long TIMEOUT_SECONDS = 60;
    private static final long MILLISECOND_NANOS = 1_000_000L;
    private static final TransportLimits SHORT_TIMEOUTS =
            TransportLimits.STANDARD.withHeartbeat(100 * MILLISECOND_NANOS, 600 * MILLISECOND_NANOS);

    private final List<PeerTransport> transports = new ArrayList<>();
    private final BlockingQueue<PeerMessage> received = new LinkedBlockingQueue<>();

    @AfterEach
    void closeAll() {
        transports.forEach(PeerTransport::close);
    }

    @Test
    void messagesOfAllSizesArriveCompletelyAndInOrder() throws InterruptedException {
        PeerTransport a = transport("a", 0, TransportLimits.STANDARD);
        PeerTransport b = receiver(0, TransportLimits.STANDARD);
        Random random = new Random(31);
        List<byte[]> sent = new ArrayList<>();
        for (int size : new int[] {0, 1, 127, 128, 16_383, 16_384, 1 << 20, 2 << 20, 77}) {
            byte[] body = new byte[size];
            random.nextBytes(body);
            sent.add(body);
            a.send(b.address(), CHANNEL, body);
        }
        for (byte[] body : sent) {
            PeerMessage message = next();
            assertThat(Arrays.equals(message.body(), body)).isTrue();
            assertThat(message.sender()).isEqualTo(new MemberId("a", 1));
            assertThat(message.from()).isEqualTo(a.address());
        }
        assertThat(b.counts().get(CHANNEL).receivedBytes())
                .isEqualTo(a.counts().get(CHANNEL).sentBytes());
    }

    @Test
    void replyIsDeliveredToTheAddressOfTheSender() throws InterruptedException {
        PeerTransport a = transport("a", 0, TransportLimits.STANDARD);
        PeerTransport b = transport("b", 0, TransportLimits.STANDARD);
        b.registerHandler(CHANNEL, message -> b.send(message.from(), CHANNEL, message.body()));
        a.registerHandler(CHANNEL, received::add);
        a.send(b.address(), CHANNEL, new byte[] {1});
        assertThat(next().from()).isEqualTo(b.address());
    }

    @Test
    void datagramsCarryTheAddressOfTheSender() throws InterruptedException {
        PeerTransport a = transport("a", 0, TransportLimits.STANDARD);
        PeerTransport b = receiver(0, TransportLimits.STANDARD);
        a.sendDatagram(b.address(), CHANNEL, new byte[] {1, 2});
        PeerMessage message = next();
        assertThat(message.datagram()).isTrue();
        assertThat(message.from()).isEqualTo(a.address());
        assertThat(message.body()).containsExactly(1, 2);
    }

    /**
     * Guards against memory exhaustion: a faulty daemon sends a message of unlimited length, and all its peers buffer it.
     */
    @Test
    void oversizedMessagesAreNeitherSentNorRead() throws Exception {
        PeerTransport a = transport("a", 0, TransportLimits.STANDARD.withMaxMessageBytes(1_000));
        PeerTransport b = receiver(0, TransportLimits.STANDARD.withMaxMessageBytes(1_000));
        a.send(b.address(), CHANNEL, new byte[1_001]);
        a.send(b.address(), CHANNEL, new byte[1_000]);
        assertThat(next().body()).hasSize(1_000);
        assertThat(a.counts().get(CHANNEL).dropped()).isEqualTo(1);
        try (Socket hostile = new Socket(b.address().getAddress(), b.port())) {
            hostile.setSoTimeout((int) TimeUnit.SECONDS.toMillis(TIMEOUT_SECONDS));
            hostile.getOutputStream().write(new byte[] {-1, -1, -1, -1, 7});
            assertThat(hostile.getInputStream().read()).isEqualTo(-1);
        }
    }

    /**
     * Guards against a denial of service: any host can send a malformed datagram, and if the socket stopped reading,
     * membership would receive nothing more.
     */
    @Test
    void malformedDatagramIsSkippedAndTheNextIsRead() throws Exception {
        PeerTransport a = transport("a", 0, TransportLimits.STANDARD);
        PeerTransport b = receiver(0, TransportLimits.STANDARD);
        try (DatagramSocket socket = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
            byte[] garbage = {-1, -1, -1, 3, 9, 9};
            socket.send(new DatagramPacket(garbage, garbage.length, b.address()));
        }
        a.sendDatagram(b.address(), CHANNEL, new byte[] {5});
        assertThat(next().body()).containsExactly(5);
    }

    /**
     * Guards against writing to a connection that no longer delivers data: a middlebox between two daemons loses the
     * state of a connection and discards its bytes, in one or both directions, while new connections work. Without
     * heartbeats the sender would use it for minutes, and callers would wait for grants that never arrive.
     */
    @ParameterizedTest
    @CsvSource({"true, true", "true, false", "false, true"})
    void silentConnectionIsReplacedByNewConnection(boolean forward, boolean backward) throws Exception {
        PeerTransport a = transport("a", 0, SHORT_TIMEOUTS);
        PeerTransport b = receiver(0, SHORT_TIMEOUTS);
        try (TcpRelay relay = new TcpRelay(b.address())) {
            a.send(relay.address(), CHANNEL, new byte[] {1});
            assertThat(next().body()).containsExactly(1);
            relay.discardOnOpenConnections(forward, backward);
            await(() -> a.silentConnections() + b.silentConnections() > 0);
            await(() -> {
                a.send(relay.address(), CHANNEL, new byte[] {2});
                return relay.acceptedCount() > 1;
            });
            PeerMessage last = next();
            assertThat(last.body()).containsExactly(2);
        }
    }

    /**
     * Guards against suspecting a healthy daemon: a connection stops delivering data shortly before a probe, too early
     * for any timeout. A probe on that connection would be lost; on a new one it arrives.
     */
    @Test
    void messageOnNewConnectionArrivesWhileCurrentConnectionIsSilent() throws Exception {
        PeerTransport a = transport("a", 0, TransportLimits.STANDARD);
        PeerTransport b = receiver(0, TransportLimits.STANDARD);
        try (TcpRelay relay = new TcpRelay(b.address())) {
            a.send(relay.address(), CHANNEL, new byte[] {1});
            next();
            relay.discardOnOpenConnections(true, true);
            a.sendOnNewConnection(relay.address(), CHANNEL, new byte[] {2});
            assertThat(next().body()).containsExactly(2);
            assertThat(a.silentConnections()).isZero();
        }
    }

    /**
     * Guards against message loss when a connection is replaced: after a single lost datagram a daemon opens a new
     * connection to a healthy peer while grants are in flight on the current one. If these were lost, callers would wait
     * for a timeout.
     */
    @Test
    void messagesInFlightSurviveTheReplacementOfTheirConnection() throws Exception {
        PeerTransport a = transport("a", 0, TransportLimits.STANDARD);
        PeerTransport b = transport("b", 0, TransportLimits.STANDARD);
        int count = 3_000;
        b.registerHandler(CHANNEL, message -> b.send(message.from(), CHANNEL, message.body()));
        a.registerHandler(CHANNEL, received::add);
        Set<Integer> pending = new HashSet<>();
        for (int i = 0; i < count; i++) {
            byte[] body = ByteBuffer.allocate(500).putInt(i).array();
            pending.add(i);
            if (i % 500 == 250) {
                a.sendOnNewConnection(b.address(), CHANNEL, body);
            } else {
                a.send(b.address(), CHANNEL, body);
            }
            int sent = i;
            await(() -> sent - received.size() <= 200);
        }
        for (int i = 0; i < count; i++) {
            assertThat(pending.remove(ByteBuffer.wrap(next().body()).getInt())).isTrue();
        }
        assertThat(pending).isEmpty();
    }

    /** Peers must reconnect to a daemon that was restarted at the same address, without a notification. */
    @Test
    void restartedPeerIsReachedAgain() throws InterruptedException {
        PeerTransport a = transport("a", 0, TransportLimits.STANDARD);
        PeerTransport original = receiver(portOutsideEphemeralRange(), TransportLimits.STANDARD);
        a.send(original.address(), CHANNEL, new byte[] {1});
        next();
        original.close();
        a.send(original.address(), CHANNEL, new byte[] {2});
        receiver(original.port(), TransportLimits.STANDARD);
        await(() -> {
            a.send(original.address(), CHANNEL, new byte[] {3});
            return !received.isEmpty();
        });
    }

    /** Guards against memory exhaustion while messages are sent to a peer that is unreachable for a long time. */
    @Test
    void queueForAnUnreachablePeerIsBounded() throws IOException {
        PeerTransport a = transport("a", 0, TransportLimits.STANDARD);
        int maxQueued = TransportLimits.STANDARD.maxQueuedMessages();
        try (Socket boundWithoutListening = new Socket()) {
            boundWithoutListening.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
            InetSocketAddress unreachable = (InetSocketAddress) boundWithoutListening.getLocalSocketAddress();
            for (int i = 0; i < maxQueued + 100; i++) {
                a.send(unreachable, CHANNEL, new byte[100]);
            }
            await(() ->
                    a.counts().containsKey(CHANNEL) && a.counts().get(CHANNEL).dropped() >= 100);
            assertThat(a.counts().get(CHANNEL).sentMessages()).isZero();
        }
    }

    private PeerTransport receiver(int port, TransportLimits limits) {
        PeerTransport transport = transport("b", port, limits);
        transport.registerHandler(CHANNEL, received::add);
        return transport;
    }

    private PeerTransport transport(String name, int port, TransportLimits limits) {
        PeerTransport transport = PeerTransport.builder()
                .bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port))
                .self(new MemberId(name, 1))
                .limits(limits)
                .random(new Random(1))
                .build()
                .start();
        transports.add(transport);
        return transport;
    }

    /** Returns a free port that the system does not assign to other processes, so that it can be bound again later. */
    private static int portOutsideEphemeralRange() {
        Random random = new Random();
        while (true) {
            int port = 20_000 + random.nextInt(10_000);
            try (ServerSocket probe = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
                return probe.getLocalPort();
            } catch (IOException e) {
                continue;
            }
        }
    }

    private PeerMessage next() throws InterruptedException {
        PeerMessage message = received.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
        assertThat(message).isNotNull();
        return message;
    }

    private static void await(BooleanSupplier condition) {
        long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_SECONDS);
        while (!condition.getAsBoolean()) {
            assertThat(System.nanoTime()).as("time limit for the condition").isLessThan(deadline);
            Thread.yield();
        }
    }
}
