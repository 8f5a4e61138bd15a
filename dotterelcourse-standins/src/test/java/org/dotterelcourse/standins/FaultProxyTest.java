package org.dotterelcourse.standins;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.time.Duration;
import java.util.Set;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

final class FaultProxyTest {
    private static final int SHORT_MILLIS = 200;
    private static final int LONG_MILLIS = 20_000;

    private FaultProxy proxy;
    private ServerSocket server;
    private ProxyLink link;

    @BeforeEach
    void start() throws IOException {
        proxy = new FaultProxy(1);
        server = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
        proxy.tcp("t", 0, "127.0.0.1:" + server.getLocalPort());
        link = proxy.link("t");
    }

    @AfterEach
    void stop() throws IOException {
        proxy.close();
        server.close();
    }

    @Test
    void bytesPassInOrderUnderDelayAndJitter() throws IOException {
        link.delay(Duration.ofMillis(1), Duration.ofMillis(3));
        try (Socket client = connect();
                Socket target = server.accept()) {
            for (int i = 0; i < 200; i++) {
                client.getOutputStream().write(i);
            }
            client.shutdownOutput();
            client.close();
            for (int i = 0; i < 200; i++) {
                assertThat(target.getInputStream().read()).isEqualTo(i);
            }
            assertThat(target.getInputStream().read()).isEqualTo(-1);
        }
    }

    // A middlebox loses its table: an open connection goes silent for good, neither end is told, new ones work.
    @Test
    void aSilentConnectionSwallowsBytesAndTheCloseWhileNewOnesWork() throws IOException {
        try (Socket client = connect();
                Socket target = server.accept()) {
            exchange(client, target);
            link.silenceOpen(ProxyLink.Direction.BOTH);
            client.getOutputStream().write(new byte[100]);
            EngineStandInTest.await(() -> link.counts().swallowed() == 100);
            client.close();
            target.setSoTimeout(SHORT_MILLIS);
            assertThatThrownBy(() -> target.getInputStream().read()).isInstanceOf(SocketTimeoutException.class);
            try (Socket fresh = connect();
                    Socket freshTarget = server.accept()) {
                exchange(fresh, freshTarget);
            }
        }
    }

    // Only one way of a connection is lost: the request arrives and is worked on, its answer never comes.
    @Test
    void oneDirectionCanBeSilentAlone() throws IOException {
        link.silenceNew(ProxyLink.Direction.DOWN);
        try (Socket client = connect();
                Socket target = server.accept()) {
            client.getOutputStream().write(7);
            assertThat(target.getInputStream().read()).isEqualTo(7);
            target.getOutputStream().write(8);
            EngineStandInTest.await(() -> link.counts().swallowed() == 1);
            client.setSoTimeout(SHORT_MILLIS);
            assertThatThrownBy(() -> client.getInputStream().read()).isInstanceOf(SocketTimeoutException.class);
        }
    }

    // The network drops the state of a connection and resets both ends.
    @Test
    void aCutResetsBothEndsAndRefusalResetsNewOnes() throws IOException {
        try (Socket client = connect();
                Socket target = server.accept()) {
            exchange(client, target);
            link.refuseNew(true);
            link.cut();
            assertThatThrownBy(() -> client.getInputStream().read()).isInstanceOf(IOException.class);
            assertThatThrownBy(() -> target.getInputStream().read()).isInstanceOf(IOException.class);
            EngineStandInTest.await(() -> link.counts().open() == 0);
        }
        try (Socket refused = connect()) {
            assertThatThrownBy(() -> refused.getInputStream().read()).isInstanceOf(IOException.class);
        } catch (IOException e) {
            assertThat(e).isNotNull();
        }
    }

    // The fleet is split for a while; TCP holds what was sent and delivers it after the split heals.
    @Test
    void aPartitionHoldsBytesUntilItHeals() throws IOException {
        try (Socket client = connect();
                Socket target = server.accept()) {
            exchange(client, target);
            proxy.partition(Set.of("127.0.0.9"), Set.of("t"));
            exchange(client, target);
            proxy.partition(Set.of(), Set.of("t"));
            exchangeNothing(client, target);
            proxy.heal();
            assertThat(target.getInputStream().read()).isEqualTo(9);
        }
    }

    @Test
    void datagramsAreRelayedBothWaysDoubledAndLost() throws IOException {
        try (DatagramSocket target = new DatagramSocket(new InetSocketAddress("127.0.0.1", 0));
                DatagramSocket client = new DatagramSocket(new InetSocketAddress("127.0.0.1", 0))) {
            target.setSoTimeout(LONG_MILLIS);
            client.setSoTimeout(LONG_MILLIS);
            var entry = Loopback.parse(proxy.udp("u", 0, "127.0.0.1:" + target.getLocalPort()));
            proxy.link("u").loss(0, 1);
            client.send(new DatagramPacket(new byte[] {5}, 1, entry));
            DatagramPacket seen = new DatagramPacket(new byte[10], 10);
            target.receive(seen);
            target.receive(seen);
            target.send(new DatagramPacket(new byte[] {6}, 1, seen.getSocketAddress()));
            client.receive(seen);
            assertThat(seen.getData()[0]).isEqualTo((byte) 6);
            long before = proxy.link("u").counts().swallowed();
            proxy.link("u").loss(1, 0);
            client.send(new DatagramPacket(new byte[] {5}, 1, entry));
            EngineStandInTest.await(() -> proxy.link("u").counts().swallowed() == before + 1);
        }
    }

    @Test
    void theControlPortSwitchesFaultsAndRefusesUnknownLinks() {
        try (var engine = EngineStandInTest.fast().build().start();
                var control = new ProxyControl(proxy, 0).start()) {
            String entry = proxy.tcp("e", 0, engine.address());
            assertThat(Call.get(entry, "/v1/load").statusCode()).isEqualTo(200);
            Call.post(control.address(), "/links", "{\"link\":\"e\",\"action\":\"refuse\"}");
            Call.post(control.address(), "/links", "{\"link\":\"e\",\"action\":\"cut\"}");
            assertThatThrownBy(() -> Call.get(entry, "/v1/load")).isInstanceOf(UncheckedIOException.class);
            Call.post(control.address(), "/links", "{\"link\":\"e\",\"action\":\"recover\"}");
            assertThat(Call.get(entry, "/v1/load").statusCode()).isEqualTo(200);
            var odd = Call.post(control.address(), "/links", "{\"link\":\"x\",\"action\":\"cut\"}");
            assertThat(odd.statusCode()).isEqualTo(400);
            assertThat(odd.body()).contains("known: [t, e]");
        }
    }

    @Test
    void onlyLoopbackTargetsAreTaken() {
        assertThatThrownBy(() -> proxy.tcp("far", 0, "192.0.2.1:80"))
                .isInstanceOf(IllegalArgumentException.class)
                .hasMessageContaining("only 127.");
    }

    private Socket connect() throws IOException {
        InetSocketAddress entry = Loopback.parse(link.address());
        Socket socket = new Socket(entry.getAddress(), entry.getPort());
        socket.setSoTimeout(LONG_MILLIS);
        return socket;
    }

    private static void exchange(Socket client, Socket target) throws IOException {
        client.getOutputStream().write(1);
        assertThat(target.getInputStream().read()).isEqualTo(1);
        target.getOutputStream().write(2);
        assertThat(client.getInputStream().read()).isEqualTo(2);
    }

    private static void exchangeNothing(Socket client, Socket target) throws IOException {
        client.getOutputStream().write(9);
        target.setSoTimeout(SHORT_MILLIS);
        assertThatThrownBy(() -> target.getInputStream().read()).isInstanceOf(SocketTimeoutException.class);
        target.setSoTimeout(LONG_MILLIS);
    }
}
