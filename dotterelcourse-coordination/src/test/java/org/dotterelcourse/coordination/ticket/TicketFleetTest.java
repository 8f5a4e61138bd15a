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
    private static final long NANOS_PER_MILLI = 1_000_000L;
    private static final String CUSTOMER = "sabla-counter";
    private static final TicketSettings SETTINGS =
            new TicketSettings(20_000 * NANOS_PER_MILLI, 200, 200, 1_000 * NANOS_PER_MILLI, 100);

    /** A ticket and the observed results of its call, which the caller may repeat at different daemons. */
    private static final class Ticket {
        private final String token;
        private int executions;
        private boolean answeredNotRun;

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
        private TicketMinter minter;
        private TicketCoordinator coordinator;

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
            minter = new TicketMinter(self, key, SETTINGS);
            coordinator = new TicketCoordinator(self, minter, SETTINGS);
            calls.clear();
            endsAt.clear();
            inbox.clear();
        }
    }

    /** Simulates nodes on a faulty network, and callers. */
    private static final class Fleet {
        private final SplittableRandom random;
        private final LossyNetwork network;
        private final List<Node> nodes = new ArrayList<>();
        private final List<Ticket> tickets = new ArrayList<>();
        private int spent;
        private int burned;
        private long now;

        Fleet(long seed) {
            random = new SplittableRandom(seed);
            network = new LossyNetwork(random);
            for (int i = 0; i < 4; i++) {
                nodes.add(new Node("entry-" + i, random));
            }
        }

        void simulateCaller(Node node) {
            if (tickets.isEmpty() || random.nextInt(4) == 0) {
                if (node.minter.mint(CUSTOMER, now) instanceof TicketMinter.MintResult.Minted minted) {
                    tickets.add(new Ticket(minted.token()));
                }
                return;
            }
            int newest = tickets.size() - 1;
            Ticket ticket = tickets.get(Math.max(0, newest - random.nextInt(6)));
            TicketCoordinator.Started started = random.nextInt(6) == 0
                    ? node.coordinator.burn(ticket.token, CUSTOMER, now)
                    : node.coordinator.spend(ticket.token, CUSTOMER, now);
            node.calls.put(started.request(), ticket);
            perform(node, started.effects());
        }

        void perform(Node node, List<TicketEffect> effects) {
            for (TicketEffect effect : effects) {
                if (effect instanceof TicketEffect.Send send) {
                    network.send(node.name, send.to(), TicketCodec.encode(send.message()), now);
                } else if (effect instanceof TicketEffect.Verdict verdict) {
                    onVerdict(node, verdict);
                }
            }
        }

        void onVerdict(Node node, TicketEffect.Verdict verdict) {
            Ticket ticket = node.calls.remove(verdict.request());
            assertThat(ticket).as("one verdict for each call").isNotNull();
            if (verdict.verdict() instanceof TicketVerdict.SpendNow) {
                spent++;
                if (random.nextInt(5) == 0) {
                    finish(node, verdict.request(), TicketOutcome.Result.NOT_RUN);
                } else {
                    ticket.executions++;
                    node.endsAt.put(verdict.request(), now + random.nextLong(3_000 * NANOS_PER_MILLI));
                }
            } else if (verdict.verdict() instanceof TicketVerdict.Burned) {
                burned++;
                ticket.answeredNotRun = true;
            } else if (verdict.verdict() instanceof TicketVerdict.AlreadySpent already) {
                already.outcome()
                        .ifPresent(outcome -> assertThat(outcome.result()).isEqualTo(TicketOutcome.Result.ANSWERED));
            }
            assertThat(ticket.executions).isLessThanOrEqualTo(1);
            assertThat(ticket.answeredNotRun && ticket.executions > 0).isFalse();
        }

        /** Queries the minter's state of a ticket by a burn request. */
        void assertOutcomeRecorded(Ticket ticket) {
            String minterName =
                    TicketToken.parse(ticket.token).orElseThrow().minter().name();
            for (Node node : nodes) {
                if (node.name.equals(minterName)) {
                    TicketEffect effect = node.coordinator
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
            perform(node, node.coordinator.recordOutcome(request, new TicketOutcome(result, new byte[0]), now));
        }

        void step() {
            now += 10 * NANOS_PER_MILLI;
            for (LossyNetwork.Packet packet : network.pollArrived(now)) {
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
                perform(node, node.coordinator.onMessage(packet.from(), message, now));
            }
            perform(node, node.coordinator.advance(now));
            for (Long request : List.copyOf(node.endsAt.keySet())) {
                if (node.endsAt.get(request) <= now) {
                    node.endsAt.remove(request);
                    finish(node, request, TicketOutcome.Result.ANSWERED);
                }
            }
        }
    }

    /**
     * Guards against a call that runs twice or after the answer "not run", when the caller repeats it at several
     * daemons because answers are lost and daemons pause, restart or are partitioned.
     */
    @Property(tries = 200, seed = "21", shrinking = ShrinkingMode.OFF)
    void ticketRunsAtMostOnceAndNeverAfterAnswerNotRun(@ForAll long seed) {
        Fleet fleet = new Fleet(seed);
        fleet.network.setFaults(0.15, 0.2, 700 * NANOS_PER_MILLI);
        for (int round = 0; round < 300; round++) {
            Node node = fleet.nodes.get(fleet.random.nextInt(fleet.nodes.size()));
            if (fleet.now >= node.pausedUntil) {
                fleet.simulateCaller(node);
            }
            injectFault(fleet, node);
            fleet.step();
        }
        assertThat(fleet.spent).isPositive();
        fleet.nodes.forEach(node -> assertThat(node.minter.size()).isLessThanOrEqualTo(SETTINGS.maxTickets()));
    }

    /**
     * Guards against calls that get no verdict because messages were lost: each must have one within the answer
     * timeout.
     */
    @Property(tries = 50, seed = "22", shrinking = ShrinkingMode.OFF)
    void everyCallGetsVerdictWithinTimeout(@ForAll long seed) {
        Fleet fleet = new Fleet(seed);
        fleet.network.setFaults(0.5, 0.2, 700 * NANOS_PER_MILLI);
        for (int round = 0; round < 100; round++) {
            fleet.simulateCaller(fleet.nodes.get(fleet.random.nextInt(fleet.nodes.size())));
            fleet.step();
        }
        long until = fleet.now + SETTINGS.answerTimeoutNanos() + 10 * NANOS_PER_MILLI;
        while (fleet.now < until) {
            fleet.step();
        }
        assertThat(fleet.nodes).allMatch(node -> node.calls.isEmpty());
    }

    /**
     * Guards against an outcome that stays unknown because its report was lost. As long as the processes live, a caller
     * that retries later must get the outcome of its call.
     */
    @Property(tries = 50, seed = "23", shrinking = ShrinkingMode.OFF)
    void everyOutcomeIsRecordedOnceNetworkRecovers(@ForAll long seed) {
        Fleet fleet = new Fleet(seed);
        fleet.network.setFaults(0.4, 0.2, 700 * NANOS_PER_MILLI);
        for (int round = 0; round < 200; round++) {
            fleet.simulateCaller(fleet.nodes.get(fleet.random.nextInt(fleet.nodes.size())));
            fleet.step();
        }
        fleet.network.setFaults(0, 0, NANOS_PER_MILLI);
        for (int i = 0; i < 600; i++) {
            fleet.step();
        }
        assertThat(fleet.tickets).anyMatch(ticket -> ticket.executions > 0);
        for (Ticket ticket : fleet.tickets) {
            fleet.assertOutcomeRecorded(ticket);
        }
    }

    private static void injectFault(Fleet fleet, Node node) {
        switch (fleet.random.nextInt(40)) {
            case 0 -> node.pause(fleet.now + fleet.random.nextLong(2_500 * NANOS_PER_MILLI));
            case 1 -> node.restart(fleet.random);
            case 2 -> fleet.network.assignPartition(node.name, 1);
            case 3, 4 -> fleet.nodes.forEach(each -> fleet.network.assignPartition(each.name, 0));
            default -> {}
        }
    }
}
