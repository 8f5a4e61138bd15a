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
    private static final long MILLI = 1_000_000L;
    private static final long STEP = 10 * MILLI;
    private static final String CUSTOMER = "kasbeheer";
    private static final LimitSettings SETTINGS = LimitSettings.defaults();
    private static final Budget BUDGET = new Budget(new Amount(100, 20_000), new Amount(150, 30_000));

    private static final class Node {
        private final String name;
        private final LimitSettings settings;
        private long life = 1;
        private long pausedUntil;
        private String homeView = "entry-0";
        private LimitClient client;
        private LimitOwner home;
        private final List<LossyNetwork.Packet> inbox = new ArrayList<>();

        Node(String name, LimitSettings settings) {
            this.name = name;
            this.settings = settings;
            start(0);
        }

        void start(long now) {
            inbox.clear();
            client = new LimitClient(
                    life, settings, customer -> Optional.of(homeView).filter(view -> !view.isEmpty()));
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

        void home(String view) {
            homeView = view;
        }

        void becomesHome(long now) {
            home = new LimitOwner(settings, now);
            home.setBudget(CUSTOMER, BUDGET, now);
        }

        void dropsHome() {
            home = null;
        }
    }

    private static final class Fleet {
        private final SplittableRandom random;
        private final LossyNetwork wire;
        private final List<Node> nodes = new ArrayList<>();
        private Amount charged = Amount.NOTHING;
        private long now;

        Fleet(long seed) {
            this(seed, SETTINGS);
        }

        Fleet(long seed, LimitSettings settings) {
            random = new SplittableRandom(seed);
            wire = new LossyNetwork(random);
            for (int i = 0; i < 4; i++) {
                nodes.add(new Node("entry-" + i, settings));
            }
            nodes.get(0).becomesHome(0);
        }

        void call(Node node) {
            ChargeResult taking = node.client.charge(CUSTOMER, 20 + random.nextLong(400), now);
            if (taking instanceof ChargeResult.Charged taken) {
                charged = charged.plus(taken.charged());
                perform(node, taken.effects());
            } else if (taking instanceof ChargeResult.AwaitingSlice waiting) {
                perform(node, waiting.effects());
            }
        }

        void perform(Node node, List<LimitEffect> effects) {
            for (LimitEffect effect : effects) {
                if (effect instanceof LimitEffect.Send send) {
                    wire.send(node.name, send.to(), LimitCodec.encode(send.message()), now);
                } else if (effect instanceof LimitEffect.Refilled refilled) {
                    assertThat(refilled.customer()).isEqualTo(CUSTOMER);
                    call(node);
                }
            }
        }

        void step(int callsOfAll) {
            now += STEP;
            for (LossyNetwork.Packet packet : wire.pollArrived(now)) {
                nodes.stream().filter(node -> node.name.equals(packet.to())).forEach(node -> node.inbox.add(packet));
            }
            for (Node node : nodes) {
                if (now >= node.pausedUntil) {
                    act(node);
                }
            }
            for (int i = 0; i < callsOfAll; i++) {
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
                } else if (message instanceof LimitMessage.Wants wants && node.home != null) {
                    perform(node, node.home.onMessage(packet.from(), wants, now));
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

        void within(double times, long sinceNanos, Amount before) {
            within(1, times, sinceNanos, before);
        }

        void within(int bursts, double times, long sinceNanos, Amount before) {
            double seconds = (now - sinceNanos) / 1e9;
            Amount spent = charged.minus(before);
            Amount rate = BUDGET.perSecond();
            assertThat((double) spent.requests())
                    .isLessThanOrEqualTo(bursts * BUDGET.burst().requests() + times * rate.requests() * seconds);
            assertThat((double) spent.tokens())
                    .isLessThanOrEqualTo(bursts * BUDGET.burst().tokens() + times * rate.tokens() * seconds);
        }
    }

    /**
     * A customer sends far more than its budget to all daemons at once, while packets are lost and doubled and daemons
     * pause and restart. Other customers would notice if it got more than its budget.
     */
    @Property(tries = 60, seed = "31", shrinking = ShrinkingMode.OFF)
    void withOneHomeTheBudgetIsNeverExceeded(@ForAll long seed) {
        Fleet fleet = new Fleet(seed);
        fleet.wire.setFaults(0.05, 0.3, 50 * MILLI);
        for (int round = 0; round < 100; round++) {
            fleet.run(100 * MILLI, fleet.random.nextInt(12));
            Node node = fleet.nodes.get(1 + fleet.random.nextInt(3));
            if (fleet.random.nextInt(10) == 0) {
                node.pause(fleet.now + fleet.random.nextLong(400 * MILLI));
            } else if (fleet.random.nextInt(20) == 0) {
                node.restart(fleet.now);
            }
            fleet.within(1, 0, Amount.NOTHING);
        }
    }

    /**
     * A fleet has just started, and a customer's calls come to all daemons at once. Its home has the whole burst to lease
     * from, so the first calls are served; and one home still gives no more than burst and rate.
     */
    @Property(tries = 30, seed = "37", shrinking = ShrinkingMode.OFF)
    void aHomeThatOpensFullServesTheFirstCallsAndStaysWithinTheBudget(@ForAll long seed) {
        Fleet fleet = new Fleet(seed, SETTINGS.withInitialFill(1));
        fleet.run(200 * MILLI, 2);
        assertThat(fleet.charged.requests()).isGreaterThan(20);
        for (int round = 0; round < 50; round++) {
            fleet.run(100 * MILLI, fleet.random.nextInt(12));
            fleet.within(1, 0, Amount.NOTHING);
        }
    }

    /**
     * VMs are replaced one after the other, and with each the customer's home moves. What its predecessors leased may
     * still be spent, so each new home can add one burst, and no more.
     */
    @Property(tries = 30, seed = "38", shrinking = ShrinkingMode.OFF)
    void eachHomeThatOpensFullAddsOneBurstAtMost(@ForAll long seed) {
        Fleet fleet = new Fleet(seed, SETTINGS.withInitialFill(1));
        fleet.wire.setFaults(0.05, 0.1, 50 * MILLI);
        int homes = 1;
        for (int round = 0; round < 12; round++) {
            fleet.run(1_500 * MILLI, 6);
            fleet.nodes.forEach(Node::dropsHome);
            fleet.nodes.get(homes % 4).becomesHome(fleet.now);
            String name = fleet.nodes.get(homes % 4).name;
            fleet.nodes.forEach(node -> node.home(name));
            homes++;
            fleet.within(homes, 1, 0, Amount.NOTHING);
        }
    }

    /** A busy customer's calls are spread over all daemons. It must be able to use what it pays for. */
    @Property(tries = 20, seed = "32", shrinking = ShrinkingMode.OFF)
    void aBusyCustomerCanUseMostOfItsBudget(@ForAll long seed) {
        Fleet fleet = new Fleet(seed);
        fleet.run(5_000 * MILLI, 4);
        Amount before = fleet.charged;
        fleet.run(10_000 * MILLI, 4);
        Amount used = fleet.charged.minus(before);
        double share = Math.max(
                used.requests() / 10.0 / BUDGET.perSecond().requests(),
                used.tokens() / 10.0 / BUDGET.perSecond().tokens());
        assertThat(share).isGreaterThan(0.9);
    }

    /**
     * The home dies and no other is known yet. The customer's calls must go on being served, by what each daemon had
     * last, and must not get more than the budget.
     */
    @Property(tries = 30, seed = "33", shrinking = ShrinkingMode.OFF)
    void withoutAHomeTheMembersStayWithinTheBudgetTogether(@ForAll long seed) {
        Fleet fleet = new Fleet(seed);
        fleet.run(5_000 * MILLI, 5);
        fleet.nodes.get(0).dropsHome();
        fleet.run(1_500 * MILLI, 5);
        assertThat(fleet.nodes).allMatch(node -> node.client.alone(CUSTOMER));
        Amount before = fleet.charged;
        long since = fleet.now;
        fleet.run(30_000 * MILLI, 5);
        fleet.within(1, since, before);
        assertThat(fleet.charged.minus(before).tokens())
                .isGreaterThan(BUDGET.perSecond().tokens() * 30 / 2);

        fleet.nodes.get(2).becomesHome(fleet.now);
        fleet.nodes.forEach(node -> node.home("entry-2"));
        fleet.run(2_000 * MILLI, 5);
        assertThat(fleet.nodes).noneMatch(node -> node.client.alone(CUSTOMER));
    }

    /**
     * A partition gives each part a home that believes to be the only one. The customer may get up to twice its rate
     * until the partition ends, and no more.
     */
    @Property(tries = 30, seed = "34", shrinking = ShrinkingMode.OFF)
    void twoHomesGiveAtMostTwiceTheRate(@ForAll long seed) {
        Fleet fleet = new Fleet(seed);
        fleet.wire.setFaults(0.05, 0.1, 50 * MILLI);
        fleet.run(5_000 * MILLI, 6);
        Amount before = fleet.charged;
        long since = fleet.now;
        for (int i = 2; i < 4; i++) {
            fleet.wire.assignPartition(fleet.nodes.get(i).name, 1);
            fleet.nodes.get(i).home("entry-2");
        }
        fleet.nodes.get(2).becomesHome(fleet.now);
        fleet.run(20_000 * MILLI, 6);
        fleet.within(2, since, before);
        assertThat(fleet.charged.minus(before).tokens())
                .isGreaterThan(BUDGET.perSecond().tokens() * 20);
    }

    /**
     * Two daemons are cut off from the home, one after the other, and go on alone while the home gives everything to the
     * rest. The customer may get up to twice its rate, and no more.
     */
    @Property(tries = 30, seed = "36", shrinking = ShrinkingMode.OFF)
    void membersCutOffFromTheHomeAddAtMostTheRateAgain(@ForAll long seed) {
        Fleet fleet = new Fleet(seed);
        fleet.run(5_000 * MILLI, 6);
        Amount before = fleet.charged;
        long since = fleet.now;
        fleet.wire.assignPartition("entry-2", 1);
        fleet.run(7_000 * MILLI, 6);
        fleet.wire.assignPartition("entry-3", 2);
        fleet.run(20_000 * MILLI, 6);
        assertThat(fleet.nodes.get(2).client.alone(CUSTOMER)).isTrue();
        assertThat(fleet.nodes.get(3).client.alone(CUSTOMER)).isTrue();
        fleet.within(2, since, before);
    }

    /** A customer stops calling at one daemon; the rest of its slice is of use to the others. */
    @Property(tries = 10, seed = "35", shrinking = ShrinkingMode.OFF)
    void anIdleDaemonGivesTheRestOfItsSliceBack(@ForAll long seed) {
        Fleet fleet = new Fleet(seed);
        fleet.run(3_000 * MILLI, 3);
        fleet.run(6_000 * MILLI, 0);
        Amount before = fleet.charged;
        for (int i = 0; i < 200; i++) {
            fleet.step(0);
            fleet.call(fleet.nodes.get(1));
        }
        assertThat(fleet.charged.minus(before).tokens())
                .isGreaterThanOrEqualTo(BUDGET.burst().tokens());
    }
}
