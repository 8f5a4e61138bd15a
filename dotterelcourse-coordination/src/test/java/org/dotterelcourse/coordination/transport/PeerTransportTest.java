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
    private static final long BOUND_SECONDS = 60;
    private static final long MILLISECOND = 1_000_000L;
    private static final TransportLimits QUICK =
            TransportLimits.STANDARD.withSilence(100 * MILLISECOND, 600 * MILLISECOND);

    private final List<PeerTransport> open = new ArrayList<>();
    private final BlockingQueue<PeerMessage> received = new LinkedBlockingQueue<>();

    @AfterEach
    void closeAll() {
        open.forEach(PeerTransport::close);
    }

    @Test
    void messagesOfAllSizesArriveWholeAndInOrder() throws InterruptedException {
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
    void answerGoesBackToTheAddressAMessageCameFrom() throws InterruptedException {
        PeerTransport a = transport("a", 0, TransportLimits.STANDARD);
        PeerTransport b = transport("b", 0, TransportLimits.STANDARD);
        b.registerHandler(CHANNEL, message -> b.send(message.from(), CHANNEL, message.body()));
        a.registerHandler(CHANNEL, received::add);
        a.send(b.address(), CHANNEL, new byte[] {1});
        assertThat(next().from()).isEqualTo(b.address());
    }

    @Test
    void datagramsCarryTheirSender() throws InterruptedException {
        PeerTransport a = transport("a", 0, TransportLimits.STANDARD);
        PeerTransport b = receiver(0, TransportLimits.STANDARD);
        a.sendDatagram(b.address(), CHANNEL, new byte[] {1, 2});
        PeerMessage message = next();
        assertThat(message.datagram()).isTrue();
        assertThat(message.from()).isEqualTo(a.address());
        assertThat(message.body()).containsExactly(1, 2);
    }

    /**
     * A fault in one daemon makes it send a message without end. If others tried to hold it they would run out of
     * memory together.
     */
    @Test
    void oversizedMessagesAreNeitherSentNorRead() throws Exception {
        PeerTransport a = transport("a", 0, TransportLimits.STANDARD.withMessageBytes(1_000));
        PeerTransport b = receiver(0, TransportLimits.STANDARD.withMessageBytes(1_000));
        a.send(b.address(), CHANNEL, new byte[1_001]);
        a.send(b.address(), CHANNEL, new byte[1_000]);
        assertThat(next().body()).hasSize(1_000);
        assertThat(a.counts().get(CHANNEL).dropped()).isEqualTo(1);
        try (Socket hostile = new Socket(b.address().getAddress(), b.port())) {
            hostile.setSoTimeout((int) TimeUnit.SECONDS.toMillis(BOUND_SECONDS));
            hostile.getOutputStream().write(new byte[] {-1, -1, -1, -1, 7});
            assertThat(hostile.getInputStream().read()).isEqualTo(-1);
        }
    }

    /** Anybody can send datagrams to a port. If a malformed one stopped the socket, membership would go deaf. */
    @Test
    void malformedDatagramIsLeftAndTheNextIsRead() throws Exception {
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
     * Something between two daemons forgets a connection and drops its bytes, in one direction or both, while new
     * connections work. Without heartbeats the sender would write into it for minutes, and callers would wait for
     * grants that never come.
     */
    @ParameterizedTest
    @CsvSource({"true, true", "true, false", "false, true"})
    void silentConnectionIsReplacedByANewOne(boolean forward, boolean backward) throws Exception {
        PeerTransport a = transport("a", 0, QUICK);
        PeerTransport b = receiver(0, QUICK);
        try (TcpRelay relay = new TcpRelay(b.address())) {
            a.send(relay.address(), CHANNEL, new byte[] {1});
            assertThat(next().body()).containsExactly(1);
            relay.swallowOpen(forward, backward);
            await(() -> a.silentConnections() + b.silentConnections() > 0);
            await(() -> {
                a.send(relay.address(), CHANNEL, new byte[] {2});
                return relay.accepted() > 1;
            });
            PeerMessage last = next();
            assertThat(last.body()).containsExactly(2);
        }
    }

    /**
     * A connection has just gone silent, before any timeout could tell. A probe by the kept one would be lost and a
     * healthy daemon suspected; by a fresh one it arrives.
     */
    @Test
    void freshMessageArrivesThoughTheKeptConnectionIsSilent() throws Exception {
        PeerTransport a = transport("a", 0, TransportLimits.STANDARD);
        PeerTransport b = receiver(0, TransportLimits.STANDARD);
        try (TcpRelay relay = new TcpRelay(b.address())) {
            a.send(relay.address(), CHANNEL, new byte[] {1});
            next();
            relay.swallowOpen(true, true);
            a.sendOnNewConnection(relay.address(), CHANNEL, new byte[] {2});
            assertThat(next().body()).containsExactly(2);
            assertThat(a.silentConnections()).isZero();
        }
    }

    /**
     * A single lost datagram makes a daemon try a fresh connection to a peer that is well, while grants are under way on
     * the kept one. If replacing it lost them, callers would wait for a timeout.
     */
    @Test
    void messagesUnderWayOutliveTheReplacementOfTheirConnection() throws Exception {
        PeerTransport a = transport("a", 0, TransportLimits.STANDARD);
        PeerTransport b = transport("b", 0, TransportLimits.STANDARD);
        int count = 3_000;
        b.registerHandler(CHANNEL, message -> b.send(message.from(), CHANNEL, message.body()));
        a.registerHandler(CHANNEL, received::add);
        Set<Integer> expected = new HashSet<>();
        for (int i = 0; i < count; i++) {
            byte[] body = ByteBuffer.allocate(500).putInt(i).array();
            expected.add(i);
            if (i % 500 == 250) {
                a.sendOnNewConnection(b.address(), CHANNEL, body);
            } else {
                a.send(b.address(), CHANNEL, body);
            }
            int sent = i;
            await(() -> sent - received.size() <= 200);
        }
        for (int i = 0; i < count; i++) {
            assertThat(expected.remove(ByteBuffer.wrap(next().body()).getInt())).isTrue();
        }
        assertThat(expected).isEmpty();
    }

    /** A daemon is restarted in place. Its peers must reach it again without being told. */
    @Test
    void restartedPeerIsReachedAgain() throws InterruptedException {
        PeerTransport a = transport("a", 0, TransportLimits.STANDARD);
        PeerTransport first = receiver(portOutsideOfTheEphemeralRange(), TransportLimits.STANDARD);
        a.send(first.address(), CHANNEL, new byte[] {1});
        next();
        first.close();
        a.send(first.address(), CHANNEL, new byte[] {2});
        receiver(first.port(), TransportLimits.STANDARD);
        await(() -> {
            a.send(first.address(), CHANNEL, new byte[] {3});
            return !received.isEmpty();
        });
    }

    /** A peer is gone for a long time while messages for it keep coming. They must not fill the memory. */
    @Test
    void messagesForAnUnreachablePeerAreBounded() throws IOException {
        PeerTransport a = transport("a", 0, TransportLimits.STANDARD);
        int bound = TransportLimits.STANDARD.queueMessages();
        try (Socket boundOnly = new Socket()) {
            boundOnly.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
            InetSocketAddress nobody = (InetSocketAddress) boundOnly.getLocalSocketAddress();
            for (int i = 0; i < bound + 100; i++) {
                a.send(nobody, CHANNEL, new byte[100]);
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
        open.add(transport);
        return transport;
    }

    /** A port that is taken again later must not be one that the system may hand to another process in between. */
    private static int portOutsideOfTheEphemeralRange() {
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
        PeerMessage message = received.poll(BOUND_SECONDS, TimeUnit.SECONDS);
        assertThat(message).isNotNull();
        return message;
    }

    private static void await(BooleanSupplier condition) {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(BOUND_SECONDS);
        while (!condition.getAsBoolean()) {
            assertThat(System.nanoTime()).as("bound of the wait").isLessThan(end);
            Thread.yield();
        }
    }
}
