package org.dotterelcourse.coordination.ticket;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import org.dotterelcourse.coordination.MemberId;
import org.dotterelcourse.coordination.grant.LossyNetwork;

import static org.assertj.core.api.Assertions.assertThat;

class TicketFleetTest {
    private static final long MILLI = 1_000_000L;
    private static final String CUSTOMER = "sabla-counter";
    private static final TicketSettings SETTINGS = new TicketSettings(20_000 * MILLI, 200, 200, 1_000 * MILLI, 100);

    /** A call that a caller makes with a ticket, maybe again and again at different daemons. */
    private static final class Ticket {
        private final String token;
        private int executions;
        private boolean saidNotRun;

        Ticket(String token) {
            this.token = token;
        }
    }

    private static final class Node {
        private final String name;
        private final Map<Long, Ticket> calls = new HashMap<>();
        private final Map<Long, Long> endsAt = new HashMap<>();
        private final List<LossyNetwork.Packet> inbox = new ArrayList<>();
        private long life;
        private long pausedUntil;
        private TicketMinter mint;
        private TicketCoordinator desk;

        Node(String name, SplittableRandom random) {
            this.name = name;
            restart(random);
        }

        void pause(long until) {
            pausedUntil = until;
        }

        void restart(SplittableRandom random) {
            life++;
            byte[] key = new byte[32];
            random.nextBytes(key);
            MemberId self = new MemberId(name, life);
            mint = new TicketMinter(self, key, SETTINGS);
            desk = new TicketCoordinator(self, mint, SETTINGS);
            calls.clear();
            endsAt.clear();
            inbox.clear();
        }
    }

    /** Nodes, callers and the tickets that were made. */
    private static final class Fleet {
        private final SplittableRandom random;
        private final LossyNetwork wire;
        private final List<Node> nodes = new ArrayList<>();
        private final List<Ticket> tickets = new ArrayList<>();
        private int spent;
        private int burned;
        private long now;

        Fleet(long seed) {
            random = new SplittableRandom(seed);
            wire = new LossyNetwork(random);
            for (int i = 0; i < 4; i++) {
                nodes.add(new Node("entry-" + i, random));
            }
        }

        void callerActs(Node node) {
            if (tickets.isEmpty() || random.nextInt(4) == 0) {
                if (node.mint.mint(CUSTOMER, now) instanceof TicketMinter.MintResult.Minted minted) {
                    tickets.add(new Ticket(minted.token()));
                }
                return;
            }
            int newest = tickets.size() - 1;
            Ticket ticket = tickets.get(Math.max(0, newest - random.nextInt(6)));
            TicketCoordinator.Started started = random.nextInt(6) == 0
                    ? node.desk.burn(ticket.token, CUSTOMER, now)
                    : node.desk.spend(ticket.token, CUSTOMER, now);
            node.calls.put(started.request(), ticket);
            perform(node, started.effects());
        }

        void perform(Node node, List<TicketEffect> effects) {
            for (TicketEffect effect : effects) {
                if (effect instanceof TicketEffect.Send send) {
                    wire.send(node.name, send.to(), TicketCodec.encode(send.message()), now);
                } else if (effect instanceof TicketEffect.Verdict verdict) {
                    decided(node, verdict);
                }
            }
        }

        void decided(Node node, TicketEffect.Verdict verdict) {
            Ticket ticket = node.calls.remove(verdict.request());
            assertThat(ticket).as("one verdict for each call").isNotNull();
            if (verdict.verdict() instanceof TicketVerdict.SpendNow) {
                spent++;
                if (random.nextInt(5) == 0) {
                    finish(node, verdict.request(), TicketOutcome.Result.NOT_RUN);
                } else {
                    ticket.executions++;
                    node.endsAt.put(verdict.request(), now + random.nextLong(3_000 * MILLI));
                }
            } else if (verdict.verdict() instanceof TicketVerdict.Burned) {
                burned++;
                ticket.saidNotRun = true;
            } else if (verdict.verdict() instanceof TicketVerdict.AlreadySpent already) {
                already.outcome()
                        .ifPresent(outcome -> assertThat(outcome.result()).isEqualTo(TicketOutcome.Result.ANSWERED));
            }
            assertThat(ticket.executions).isLessThanOrEqualTo(1);
            assertThat(ticket.saidNotRun && ticket.executions > 0).isFalse();
        }

        /** Asks the minter, by burning, what it knows of a ticket. */
        void outcomeKnown(Ticket ticket) {
            String minter =
                    TicketToken.parse(ticket.token).orElseThrow().minter().name();
            for (Node node : nodes) {
                if (node.name.equals(minter)) {
                    TicketEffect effect = node.desk
                            .burn(ticket.token, CUSTOMER, now)
                            .effects()
                            .get(0);
                    TicketVerdict verdict = ((TicketEffect.Verdict) effect).verdict();
                    boolean answered = verdict instanceof TicketVerdict.AlreadySpent already
                            && already.outcome().isPresent();
                    assertThat(answered).isEqualTo(ticket.executions > 0);
                    assertThat(verdict instanceof TicketVerdict.Burned).isEqualTo(ticket.executions == 0);
                }
            }
        }

        void finish(Node node, long request, TicketOutcome.Result result) {
            perform(node, node.desk.recordOutcome(request, new TicketOutcome(result, new byte[0]), now));
        }

        void step() {
            now += 10 * MILLI;
            for (LossyNetwork.Packet packet : wire.pollArrived(now)) {
                nodes.stream().filter(node -> node.name.equals(packet.to())).forEach(node -> node.inbox.add(packet));
            }
            for (Node node : nodes) {
                if (now >= node.pausedUntil) {
                    act(node);
                }
            }
        }

        void act(Node node) {
            List<LossyNetwork.Packet> packets = List.copyOf(node.inbox);
            node.inbox.clear();
            for (LossyNetwork.Packet packet : packets) {
                TicketMessage message = ((TicketCodec.Decoded.Message) TicketCodec.decode(packet.body())).message();
                perform(node, node.desk.onMessage(packet.from(), message, now));
            }
            perform(node, node.desk.advance(now));
            for (Long request : List.copyOf(node.endsAt.keySet())) {
                if (node.endsAt.get(request) <= now) {
                    node.endsAt.remove(request);
                    finish(node, request, TicketOutcome.Result.ANSWERED);
                }
            }
        }
    }

    /**
     * A caller sends the same ticketed payout to one daemon after another, because answers get lost, daemons pause,
     * restart or are cut off. A user would notice a payout made twice, or one made after "not run" was said.
     */
    @Property(tries = 200, seed = "21", shrinking = ShrinkingMode.OFF)
    void aTicketRunsAtMostOnceAndNotRunIsTrue(@ForAll long seed) {
        Fleet fleet = new Fleet(seed);
        fleet.wire.setFaults(0.15, 0.2, 700 * MILLI);
        for (int round = 0; round < 300; round++) {
            Node node = fleet.nodes.get(fleet.random.nextInt(fleet.nodes.size()));
            if (fleet.now >= node.pausedUntil) {
                fleet.callerActs(node);
            }
            disturb(fleet, node);
            fleet.step();
        }
        assertThat(fleet.spent).isPositive();
        fleet.nodes.forEach(node -> assertThat(node.mint.size()).isLessThanOrEqualTo(SETTINGS.maxTickets()));
    }

    /** Once nothing is lost any more, every call has its verdict within the answer timeout. */
    @Property(tries = 50, seed = "22", shrinking = ShrinkingMode.OFF)
    void everyCallGetsItsVerdictWithinTheTimeout(@ForAll long seed) {
        Fleet fleet = new Fleet(seed);
        fleet.wire.setFaults(0.5, 0.2, 700 * MILLI);
        for (int round = 0; round < 100; round++) {
            fleet.callerActs(fleet.nodes.get(fleet.random.nextInt(fleet.nodes.size())));
            fleet.step();
        }
        long until = fleet.now + SETTINGS.answerTimeoutNanos() + 10 * MILLI;
        while (fleet.now < until) {
            fleet.step();
        }
        assertThat(fleet.nodes).allMatch(node -> node.calls.isEmpty());
    }

    /**
     * Reports of outcomes get lost like everything else. A caller that asks again later must hear what became of its
     * payout as long as the processes live, not "unknown" for good.
     */
    @Property(tries = 50, seed = "23", shrinking = ShrinkingMode.OFF)
    void afterTheFleetHealsEveryOutcomeIsKnown(@ForAll long seed) {
        Fleet fleet = new Fleet(seed);
        fleet.wire.setFaults(0.4, 0.2, 700 * MILLI);
        for (int round = 0; round < 200; round++) {
            fleet.callerActs(fleet.nodes.get(fleet.random.nextInt(fleet.nodes.size())));
            fleet.step();
        }
        fleet.wire.setFaults(0, 0, MILLI);
        for (int i = 0; i < 600; i++) {
            fleet.step();
        }
        assertThat(fleet.tickets).anyMatch(ticket -> ticket.executions > 0);
        for (Ticket ticket : fleet.tickets) {
            fleet.outcomeKnown(ticket);
        }
    }

    private static void disturb(Fleet fleet, Node node) {
        switch (fleet.random.nextInt(40)) {
            case 0 -> node.pause(fleet.now + fleet.random.nextLong(2_500 * MILLI));
            case 1 -> node.restart(fleet.random);
            case 2 -> fleet.wire.assignPartition(node.name, 1);
            case 3, 4 -> fleet.nodes.forEach(each -> fleet.wire.assignPartition(each.name, 0));
            default -> {}
        }
    }
}
