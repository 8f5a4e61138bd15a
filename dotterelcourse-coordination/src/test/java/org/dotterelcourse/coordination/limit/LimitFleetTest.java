package org.dotterelcourse.coordination.limit;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import org.dotterelcourse.coordination.grant.LossyNetwork;

import static org.assertj.core.api.Assertions.assertThat;

class LimitFleetTest {
    private static final long NANOS_PER_MILLI = 1_000_000L;
    private static final long STEP_NANOS = 10 * NANOS_PER_MILLI;
    private static final String CUSTOMER = "kasbeheer";
    private static final LimitSettings SETTINGS = LimitSettings.defaults();
    private static final Budget BUDGET = new Budget(new Amount(100, 20_000), new Amount(150, 30_000));

    private static final class Node {
        private final String name;
        private final LimitSettings settings;
        private long life = 1;
        private long pausedUntil;
        private String ownerName = "entry-0";
        private LimitClient client;
        private LimitOwner owner;
        private final List<LossyNetwork.Packet> inbox = new ArrayList<>();

        Node(String name, LimitSettings settings) {
            this.name = name;
            this.settings = settings;
            start(0);
        }

        void start(long now) {
            inbox.clear();
            client = new LimitClient(
                    life, settings, customer -> Optional.of(ownerName).filter(each -> !each.isEmpty()));
            client.setBudget(CUSTOMER, BUDGET, now);
            client.setLiveMembers(4);
        }

        void restart(long now) {
            life++;
            start(now);
        }

        void pause(long until) {
            pausedUntil = until;
        }

        void setOwner(String member) {
            ownerName = member;
        }

        void becomeOwner(long now) {
            owner = new LimitOwner(settings, now);
            owner.setBudget(CUSTOMER, BUDGET, now);
        }

        void resign() {
            owner = null;
        }
    }

    private static final class Fleet {
        private final SplittableRandom random;
        private final LossyNetwork network;
        private final List<Node> nodes = new ArrayList<>();
        private Amount charged = Amount.ZERO;
        private long now;

        Fleet(long seed) {
            this(seed, SETTINGS);
        }

        Fleet(long seed, LimitSettings settings) {
            random = new SplittableRandom(seed);
            network = new LossyNetwork(random);
            for (int i = 0; i < 4; i++) {
                nodes.add(new Node("entry-" + i, settings));
            }
            nodes.get(0).becomeOwner(0);
        }

        void call(Node node) {
            ChargeResult result = node.client.charge(CUSTOMER, 20 + random.nextLong(400), now);
            if (result instanceof ChargeResult.Charged chargedCall) {
                charged = charged.plus(chargedCall.charged());
                perform(node, chargedCall.effects());
            } else if (result instanceof ChargeResult.AwaitingSlice waiting) {
                perform(node, waiting.effects());
            }
        }

        void perform(Node node, List<LimitEffect> effects) {
            for (LimitEffect effect : effects) {
                if (effect instanceof LimitEffect.Send send) {
                    network.send(node.name, send.to(), LimitCodec.encode(send.message()), now);
                } else if (effect instanceof LimitEffect.Refilled refilled) {
                    assertThat(refilled.customer()).isEqualTo(CUSTOMER);
                    call(node);
                }
            }
        }

        void step(int calls) {
            now += STEP_NANOS;
            for (LossyNetwork.Packet packet : network.pollArrived(now)) {
                nodes.stream().filter(node -> node.name.equals(packet.to())).forEach(node -> node.inbox.add(packet));
            }
            for (Node node : nodes) {
                if (now >= node.pausedUntil) {
                    act(node);
                }
            }
            for (int i = 0; i < calls; i++) {
                Node node = nodes.get(random.nextInt(nodes.size()));
                if (now >= node.pausedUntil) {
                    call(node);
                }
            }
        }

        void act(Node node) {
            List<LossyNetwork.Packet> packets = List.copyOf(node.inbox);
            node.inbox.clear();
            for (LossyNetwork.Packet packet : packets) {
                LimitMessage message = ((LimitCodec.Decoded.Message) LimitCodec.decode(packet.body())).message();
                if (message instanceof LimitMessage.Slices slices) {
                    perform(node, node.client.onMessage(slices, now));
                } else if (message instanceof LimitMessage.Wants wants && node.owner != null) {
                    perform(node, node.owner.onMessage(packet.from(), wants, now));
                }
            }
            perform(node, node.client.advance(now));
        }

        void run(long nanos, int callsPerStep) {
            long until = now + nanos;
            while (now < until) {
                step(callsPerStep);
            }
        }

        void assertWithinBudget(double rateFactor, long sinceNanos, Amount before) {
            assertWithinBudget(1, rateFactor, sinceNanos, before);
        }

        void assertWithinBudget(int bursts, double rateFactor, long sinceNanos, Amount before) {
            double seconds = (now - sinceNanos) / 1e9;
            Amount spent = charged.minus(before);
            Amount rate = BUDGET.perSecond();
            assertThat((double) spent.requests())
                    .isLessThanOrEqualTo(bursts * BUDGET.burst().requests() + rateFactor * rate.requests() * seconds);
            assertThat((double) spent.tokens())
                    .isLessThanOrEqualTo(bursts * BUDGET.burst().tokens() + rateFactor * rate.tokens() * seconds);
        }
    }

    /**
     * Guards against a customer exceeding its budget at the expense of others: it sends far more calls than its budget
     * to all daemons at once, while packets are lost and duplicated and daemons pause and restart.
     */
    @Property(tries = 60, seed = "31", shrinking = ShrinkingMode.OFF)
    void singleOwnerNeverExceedsBudget(@ForAll long seed) {
        Fleet fleet = new Fleet(seed);
        fleet.network.setFaults(0.05, 0.3, 50 * NANOS_PER_MILLI);
        for (int round = 0; round < 100; round++) {
            fleet.run(100 * NANOS_PER_MILLI, fleet.random.nextInt(12));
            Node node = fleet.nodes.get(1 + fleet.random.nextInt(3));
            if (fleet.random.nextInt(10) == 0) {
                node.pause(fleet.now + fleet.random.nextLong(400 * NANOS_PER_MILLI));
            } else if (fleet.random.nextInt(20) == 0) {
                node.restart(fleet.now);
            }
            fleet.assertWithinBudget(1, 0, Amount.ZERO);
        }
    }

    /**
     * Guards against rejecting the first calls after the start of a fleet, when a customer's calls arrive at all
     * daemons at once. An owner that starts with the whole burst serves them and still leases no more than the burst
     * plus the rate.
     */
    @Property(tries = 30, seed = "37", shrinking = ShrinkingMode.OFF)
    void ownerWithFullInitialFillServesFirstCallsWithinBudget(@ForAll long seed) {
        Fleet fleet = new Fleet(seed, SETTINGS.withInitialFill(1));
        fleet.run(200 * NANOS_PER_MILLI, 2);
        assertThat(fleet.charged.requests()).isGreaterThan(20);
        for (int round = 0; round < 50; round++) {
            fleet.run(100 * NANOS_PER_MILLI, fleet.random.nextInt(12));
            fleet.assertWithinBudget(1, 0, Amount.ZERO);
        }
    }

    /**
     * Guards against a budget that is exceeded when VMs are replaced one after the other and the ownership of a
     * customer moves each time. Slices leased by earlier owners may still be spent, so each new owner adds at most one
     * burst.
     */
    @Property(tries = 30, seed = "38", shrinking = ShrinkingMode.OFF)
    void eachOwnerWithFullInitialFillAddsAtMostOneBurst(@ForAll long seed) {
        Fleet fleet = new Fleet(seed, SETTINGS.withInitialFill(1));
        fleet.network.setFaults(0.05, 0.1, 50 * NANOS_PER_MILLI);
        int owners = 1;
        for (int round = 0; round < 12; round++) {
            fleet.run(1_500 * NANOS_PER_MILLI, 6);
            fleet.nodes.forEach(Node::resign);
            fleet.nodes.get(owners % 4).becomeOwner(fleet.now);
            String name = fleet.nodes.get(owners % 4).name;
            fleet.nodes.forEach(node -> node.setOwner(name));
            owners++;
            fleet.assertWithinBudget(owners, 1, 0, Amount.ZERO);
        }
    }

    /** Guards against budget lost in unused slices when a busy customer's calls are spread over all daemons. */
    @Property(tries = 20, seed = "32", shrinking = ShrinkingMode.OFF)
    void busyCustomerCanUseMostOfItsBudget(@ForAll long seed) {
        Fleet fleet = new Fleet(seed);
        fleet.run(5_000 * NANOS_PER_MILLI, 4);
        Amount before = fleet.charged;
        fleet.run(10_000 * NANOS_PER_MILLI, 4);
        Amount used = fleet.charged.minus(before);
        double share = Math.max(
                used.requests() / 10.0 / BUDGET.perSecond().requests(),
                used.tokens() / 10.0 / BUDGET.perSecond().tokens());
        assertThat(share).isGreaterThan(0.9);
    }

    /**
     * Guards against rejecting a customer's calls after its owner has died, before there is another owner. The daemons
     * serve the calls in local mode by their last shares, and must stay within the budget together.
     */
    @Property(tries = 30, seed = "33", shrinking = ShrinkingMode.OFF)
    void membersWithoutOwnerStayWithinBudgetTogether(@ForAll long seed) {
        Fleet fleet = new Fleet(seed);
        fleet.run(5_000 * NANOS_PER_MILLI, 5);
        fleet.nodes.get(0).resign();
        fleet.run(1_500 * NANOS_PER_MILLI, 5);
        assertThat(fleet.nodes).allMatch(node -> node.client.isLocalMode(CUSTOMER));
        Amount before = fleet.charged;
        long since = fleet.now;
        fleet.run(30_000 * NANOS_PER_MILLI, 5);
        fleet.assertWithinBudget(1, since, before);
        assertThat(fleet.charged.minus(before).tokens())
                .isGreaterThan(BUDGET.perSecond().tokens() * 30 / 2);

        fleet.nodes.get(2).becomeOwner(fleet.now);
        fleet.nodes.forEach(node -> node.setOwner("entry-2"));
        fleet.run(2_000 * NANOS_PER_MILLI, 5);
        assertThat(fleet.nodes).noneMatch(node -> node.client.isLocalMode(CUSTOMER));
    }

    /**
     * Guards against more than twice the rate during a network partition, when each side has its own owner that leases
     * the whole budget.
     */
    @Property(tries = 30, seed = "34", shrinking = ShrinkingMode.OFF)
    void twoOwnersLeaseAtMostTwiceTheRate(@ForAll long seed) {
        Fleet fleet = new Fleet(seed);
        fleet.network.setFaults(0.05, 0.1, 50 * NANOS_PER_MILLI);
        fleet.run(5_000 * NANOS_PER_MILLI, 6);
        Amount before = fleet.charged;
        long since = fleet.now;
        for (int i = 2; i < 4; i++) {
            fleet.network.assignPartition(fleet.nodes.get(i).name, 1);
            fleet.nodes.get(i).setOwner("entry-2");
        }
        fleet.nodes.get(2).becomeOwner(fleet.now);
        fleet.run(20_000 * NANOS_PER_MILLI, 6);
        fleet.assertWithinBudget(2, since, before);
        assertThat(fleet.charged.minus(before).tokens())
                .isGreaterThan(BUDGET.perSecond().tokens() * 20);
    }

    /**
     * Guards against more than twice the rate when two daemons lose the connection to the owner one after the other and
     * continue in local mode, while the owner leases the whole budget to the other daemons.
     */
    @Property(tries = 30, seed = "36", shrinking = ShrinkingMode.OFF)
    void membersWithoutConnectionToOwnerAddAtMostTheRateOnceMore(@ForAll long seed) {
        Fleet fleet = new Fleet(seed);
        fleet.run(5_000 * NANOS_PER_MILLI, 6);
        Amount before = fleet.charged;
        long since = fleet.now;
        fleet.network.assignPartition("entry-2", 1);
        fleet.run(7_000 * NANOS_PER_MILLI, 6);
        fleet.network.assignPartition("entry-3", 2);
        fleet.run(20_000 * NANOS_PER_MILLI, 6);
        assertThat(fleet.nodes.get(2).client.isLocalMode(CUSTOMER)).isTrue();
        assertThat(fleet.nodes.get(3).client.isLocalMode(CUSTOMER)).isTrue();
        fleet.assertWithinBudget(2, since, before);
    }

    /**
     * Guards against budget left unused at a daemon whose customer no longer sends calls, while other daemons need it.
     */
    @Property(tries = 10, seed = "35", shrinking = ShrinkingMode.OFF)
    void idleDaemonReturnsRestOfItsSlice(@ForAll long seed) {
        Fleet fleet = new Fleet(seed);
        fleet.run(3_000 * NANOS_PER_MILLI, 3);
        fleet.run(6_000 * NANOS_PER_MILLI, 0);
        Amount before = fleet.charged;
        for (int i = 0; i < 200; i++) {
            fleet.step(0);
            fleet.call(fleet.nodes.get(1));
        }
        assertThat(fleet.charged.minus(before).tokens())
                .isGreaterThanOrEqualTo(BUDGET.burst().tokens());
    }
}
