package org.dotterelcourse.coordination.membership;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;

import org.dotterelcourse.coordination.MemberId;
import org.dotterelcourse.coordination.transport.PeerTransport;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class LoopbackMembershipTest {

    private static final long TIMEOUT_SECONDS = 60;

    private final List<Node> nodes = new ArrayList<>();

    @AfterEach
    void closeAll() {
        for (Node node : nodes) {
            node.transport.close();
        }
    }

    @Test
    void processesDiscoverOneAnotherThroughOneSeed() {
        start(4);
        for (Node node : nodes) {
            awaitView(node, view -> count(view, MemberState.ALIVE) == 4);
        }
    }

    /**
     * A VM is lost without announcing its shutdown, for example because its host fails. Until the other processes
     * detect the loss, clients are still sent to its address.
     */
    @Test
    void stoppedProcessIsDeclaredDeadByAllOthers() {
        start(4);
        for (Node node : nodes) {
            awaitView(node, view -> count(view, MemberState.ALIVE) == 4);
        }
        nodes.get(3).transport.close();
        for (Node node : nodes.subList(0, 3)) {
            awaitView(node, view -> count(view, MemberState.DEAD) == 1);
        }
    }

    @Test
    void leavingStateReachesAllOthers() {
        start(3);
        for (Node node : nodes) {
            awaitView(node, view -> count(view, MemberState.ALIVE) == 3);
        }
        nodes.get(0).driver.submit(new MembershipEvent.Leave());
        for (Node node : nodes) {
            awaitView(node, view -> count(view, MemberState.LEAVING) == 1);
        }
    }

    private void start(int count) {
        for (int i = 0; i < count; i++) {
            nodes.add(new Node("entry-" + i, i));
        }
        ListedVm seed = new ListedVm("entry-0", nodes.get(0).transport.address());
        for (Node node : nodes.subList(1, count)) {
            node.driver.submit(new MembershipEvent.VmListReceived(List.of(seed)));
        }
    }

    private static long count(List<Member> view, MemberState state) {
        return view.stream().filter(member -> member.state() == state).count();
    }

    private static void awaitView(Node node, Predicate<List<Member>> condition) {
        CompletableFuture<List<Member>> met = new CompletableFuture<>();
        node.transport.schedulePeriodically(TimeUnit.MILLISECONDS.toNanos(20), () -> {
            if (!met.isDone() && condition.test(node.membership.members())) {
                met.complete(node.membership.members());
            }
        });
        assertThat(met.orTimeout(TIMEOUT_SECONDS, TimeUnit.SECONDS)).succeedsWithin(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }

    private static final class Node {
        private final PeerTransport transport;
        private final Membership membership;
        private final MembershipDriver driver;

        private Node(String name, int seed) {
            MemberId id = new MemberId(name, 1);
            InetSocketAddress anyPort = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
            transport = PeerTransport.builder().bind(anyPort).self(id).build().start();
            membership = Membership.builder()
                    .self(id)
                    .address(transport.address())
                    .payload(new Payload("127.0.0.1:80", "ruwi-hall", "muscat", 0, 0, 0))
                    .random(new Random(seed))
                    .build(System.nanoTime());
            driver = new MembershipDriver(transport, membership, effect -> {});
            driver.start(MembershipSettings.STANDARD.tickNanos());
        }
    }
}
