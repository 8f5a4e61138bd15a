package org.dotterelcourse.coordination.example;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.TimeUnit;

import org.dotterelcourse.coordination.MemberId;
import org.dotterelcourse.coordination.membership.ListedVm;
import org.dotterelcourse.coordination.membership.Member;
import org.dotterelcourse.coordination.membership.Membership;
import org.dotterelcourse.coordination.membership.MembershipDriver;
import org.dotterelcourse.coordination.membership.MembershipEvent;
import org.dotterelcourse.coordination.membership.MembershipSettings;
import org.dotterelcourse.coordination.membership.Payload;
import org.dotterelcourse.coordination.ownership.CellId;
import org.dotterelcourse.coordination.ownership.Ownership;
import org.dotterelcourse.coordination.transport.PeerTransport;

/**
 * Example of embedding membership and ownership: three members in one process discover each other through a seed and
 * compute the same owner of a cell by rendezvous hashing, without exchanging messages about it. Then the owner leaves,
 * and the members compute the same new owner.
 */
public final class OwnerExample {

    private static final CellId CELL = new CellId("sabla-llm", "muscat", 0);
    private static final long SUSPECT_GRACE_NANOS = TimeUnit.SECONDS.toNanos(1);
    private static final long AGREEMENT_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(30);
    private static final long POLL_MILLIS = 20;

    private final PeerTransport transport;
    private final MembershipDriver driver;
    private final String name;
    private volatile List<Member> view = List.of();

    private OwnerExample(String name, String dataCentre) {
        this.name = name;
        MemberId id = new MemberId(name, System.currentTimeMillis());
        transport = PeerTransport.builder()
                .bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
                .self(id)
                .build()
                .start();
        Membership membership = Membership.builder()
                .self(id)
                .address(transport.address())
                .payload(new Payload("127.0.0.1:8080", dataCentre, "muscat", 0, 0, 0))
                .random(new Random())
                .build(System.nanoTime());
        driver = new MembershipDriver(transport, membership, effect -> view = membership.members());
        driver.start(MembershipSettings.STANDARD.tickNanos());
    }

    /**
     * Runs the example.
     *
     * @param args ignored
     * @throws InterruptedException if the main thread is interrupted
     */
    public static void main(String[] args) throws InterruptedException {
        List<OwnerExample> members = new ArrayList<>();
        members.add(new OwnerExample("entry-1", "ruwi-hall"));
        members.add(new OwnerExample("entry-2", "qurum-hall"));
        members.add(new OwnerExample("entry-3", "seeb-hall"));
        ListedVm seed = new ListedVm("entry-1", members.get(0).transport.address());
        for (OwnerExample member : members.subList(1, members.size())) {
            member.driver.submit(new MembershipEvent.VmListReceived(List.of(seed)));
        }
        String owner = awaitAgreement(members, "");
        System.out.println("all three name " + owner + " as the owner of " + CELL.key());
        for (OwnerExample member : members) {
            if (member.name.equals(owner)) {
                member.driver.submit(new MembershipEvent.Leave());
            }
        }
        String newOwner = awaitAgreement(members, owner);
        System.out.println(owner + " leaves; all three name " + newOwner);
        members.forEach(member -> member.transport.close());
    }

    private Optional<String> owner() {
        Ownership ownership = new Ownership(view, SUSPECT_GRACE_NANOS, System.nanoTime());
        return ownership.owner(CELL).map(Member::name);
    }

    /** Waits until each member sees all members and all compute the same owner, other than the previous one. */
    private static String awaitAgreement(List<OwnerExample> members, String previousOwner) throws InterruptedException {
        long deadlineNanos = System.nanoTime() + AGREEMENT_TIMEOUT_NANOS;
        while (System.nanoTime() < deadlineNanos) {
            Optional<String> first = members.get(0).owner();
            boolean agreed = first.isPresent() && !first.get().equals(previousOwner);
            for (OwnerExample member : members) {
                agreed &= member.view.size() == members.size() && member.owner().equals(first);
            }
            if (agreed) {
                return first.get();
            }
            Thread.sleep(POLL_MILLIS);
        }
        throw new IllegalStateException("the members did not agree on an owner within 30 s");
    }
}
