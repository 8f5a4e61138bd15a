package org.dotterelcourse.gateway.slots;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;

import org.dotterelcourse.coordination.grant.GrantCodec;
import org.dotterelcourse.coordination.grant.GrantMessage;
import org.dotterelcourse.gateway.forward.SlotSource;
import org.dotterelcourse.gateway.workers.SlotGrant;
import org.dotterelcourse.policy.rate.SlotLedger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import reactor.core.publisher.Mono;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests fleets of processes that share the slots of one brittle worker, in virtual time with messages that take their time. */
class SlotFleetTest {
    private static final long MILLI = 1_000_000L;
    private static final long SECOND = 1_000 * MILLI;
    private static final String WORKER = "w";
    private static final int SLOTS = 6;
    private static final int MAX_REJECTIONS = 3;
    private static final int WORK_MILLIS = 100;

    /** With 85 requests a second on a site of 59 processes, about 0.7 KB a second for each of them. */
    private static final long MAX_BYTES_PER_REQUEST = 500;

    private final Random random = new Random(52);
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::atNanos).thenComparingLong(Event::order));
    private final List<Process> processes = new ArrayList<>();
    private final Map<String, Process> byName = new HashMap<>();
    private final List<Long> rejections = new ArrayList<>();
    private long nowNanos = SECOND;
    private long order;
    private int room = SLOTS;
    private int running;
    private int served;
    private int mostRejections;
    private int mostRunning;
    private long bytes;
    private int messages;
    private double loss;

    private record Event(long atNanos, long order, Runnable action) {}

    private void after(long nanos, Runnable action) {
        events.add(new Event(nowNanos + nanos, order++, action));
    }

    private void runUntil(long endNanos) {
        while (!events.isEmpty() && events.peek().atNanos() <= endNanos) {
            Event next = events.poll();
            nowNanos = next.atNanos();
            next.action().run();
        }
        nowNanos = endNanos;
    }

    /** A process with its cell for the worker. */
    private final class Process implements SlotCell.Environment {
        private final String name;
        private final int number;
        private final SlotCell cell;
        private boolean isDown;
        private int ownServed;
        private int inFlight;

        private Process(int number) {
            this.number = number;
            this.name = "p" + number;
            this.cell = new SlotCell(WORKER, this, new Random(number));
        }

        @Override
        public String self() {
            return name;
        }

        @Override
        public long incarnation() {
            return 1;
        }

        @Override
        public long nowNanos() {
            return nowNanos;
        }

        @Override
        public void send(String to, GrantMessage message) {
            byte[] body = GrantCodec.encode(message);
            messages++;
            bytes += body.length;
            if (isDown || random.nextDouble() < loss) {
                return;
            }
            long delay = (to.equals(name) ? 0 : 1 + random.nextInt(2)) * MILLI;
            after(delay, () -> {
                Process receiver = byName.get(to);
                if (!receiver.isDown && GrantCodec.decode(body) instanceof GrantCodec.Decoded.Message decoded) {
                    receiver.cell.receive(name, decoded.message());
                }
            });
        }

        @Override
        public SlotLedger.Bounds bounds(String worker) {
            return new SlotLedger.Bounds(SLOTS, MAX_REJECTIONS, 0);
        }

        @Override
        public SlotLedger.Bounds ownPart(String worker) {
            int part = SLOTS / processes.size() + (number < SLOTS % processes.size() ? 1 : 0);
            return new SlotLedger.Bounds(part, MAX_REJECTIONS, 0);
        }

        @Override
        public void onLocalMode(String worker, boolean isLocal) {
            // Not of interest here.
        }

        private void tick() {
            if (!isDown) {
                cell.advance();
            }
            after(20 * MILLI, this::tick);
        }

        private void request() {
            if (isDown) {
                return;
            }
            SlotTerms terms = new SlotTerms(125, 0, MAX_REJECTIONS);
            Mono.<SlotSource.Result>create(sink -> cell.ask(terms, nowNanos, sink))
                    .subscribe(result -> {
                        if (result instanceof SlotSource.Result.Granted granted
                                && granted.slot().tryUse()) {
                            after(MILLI, () -> atWorker(granted.slot()));
                        }
                    });
        }

        private void atWorker(SlotGrant slot) {
            if (running >= room) {
                reject();
                after(MILLI, () -> slot.release(SlotLedger.End.REJECTED));
                return;
            }
            running++;
            mostRunning = Math.max(mostRunning, running);
            after(WORK_MILLIS * MILLI, () -> {
                running--;
                served++;
                ownServed++;
                after(MILLI, () -> slot.release(SlotLedger.End.ANSWERED));
            });
        }
    }

    private void reject() {
        rejections.removeIf(at -> nowNanos - at > SECOND);
        rejections.add(nowNanos);
        mostRejections = Math.max(mostRejections, rejections.size());
    }

    private void start(int count, double requestsPerSecond) {
        for (int i = 0; i < count; i++) {
            Process process = new Process(i);
            processes.add(process);
            byName.put(process.name, process);
        }
        processes.forEach(process -> {
            process.cell.updateOwner("p0", random);
            process.tick();
        });
        arrive(requestsPerSecond);
    }

    private void arrive(double perSecond) {
        processes.get(random.nextInt(processes.size())).request();
        after((long) (-Math.log(1 - random.nextDouble()) / perSecond * SECOND), () -> arrive(perSecond));
    }

    private static double capacityPerSecond() {
        return SLOTS * 1_000.0 / WORK_MILLIS;
    }

    @ParameterizedTest
    @ValueSource(ints = {3, 12, 13, 59, 85, 340})
    void whatAWorkerRejectsDoesNotGrowWithTheFleet(int count) {
        start(count, 1.4 * capacityPerSecond());
        runUntil(10 * SECOND);
        assertThat(mostRejections).isZero();
        assertThat(served).isGreaterThan((int) (0.8 * 9 * capacityPerSecond()));
        room = SLOTS / 2;
        runUntil(30 * SECOND);
        assertThat(bytes / served)
                .as("bytes a served request, in %d messages", messages)
                .isLessThan(MAX_BYTES_PER_REQUEST);
        assertThat(mostRejections).isBetween(1, MAX_REJECTIONS);
        assertThat(mostRunning).isLessThanOrEqualTo(SLOTS);
    }

    @Test
    void everyProcessIsServedThoughThereAreFewerSlotsThanProcesses() {
        start(59, 0.8 * capacityPerSecond());
        runUntil(60 * SECOND);
        assertThat(served).isGreaterThan((int) (0.75 * 59 * capacityPerSecond()));
        assertThat(processes).allMatch(process -> process.ownServed > 0);
    }

    @Test
    void lostMessagesCostNoMoreRejectionsThanTheWorkerBears() {
        loss = 0.03;
        start(13, 1.4 * capacityPerSecond());
        runUntil(30 * SECOND);
        assertThat(mostRejections).isLessThanOrEqualTo(MAX_REJECTIONS);
        assertThat(served).isGreaterThan((int) (0.4 * 29 * capacityPerSecond()));
    }

    @Test
    void theSlotsOfAProcessThatEndedAreUsedAgain() {
        start(13, 1.4 * capacityPerSecond());
        runUntil(5 * SECOND);
        for (int i = 7; i < 13; i++) {
            processes.get(i).isDown = true;
        }
        runUntil(10 * SECOND);
        int before = served;
        runUntil(20 * SECOND);
        // Requests of processes that ended do not arrive any more.
        assertThat(served - before).isGreaterThan((int) (0.6 * 10 * capacityPerSecond()));
        assertThat(mostRejections).isLessThanOrEqualTo(MAX_REJECTIONS);
    }

    @Test
    void whileTheOwnerDoesNotAnswerEachProcessUsesItsOwnPart() {
        start(3, 1.4 * capacityPerSecond());
        runUntil(5 * SECOND);
        processes.get(0).isDown = true;
        runUntil(10 * SECOND);
        int before = served;
        runUntil(20 * SECOND);
        assertThat(served - before).isGreaterThan((int) (0.5 * 10 * capacityPerSecond()));
        assertThat(mostRunning).isLessThanOrEqualTo(SLOTS);
        processes.get(0).isDown = false;
        runUntil(30 * SECOND);
        assertThat(mostRejections).isLessThanOrEqualTo(MAX_REJECTIONS);
    }

    @Test
    void aNewOwnerTakesOverTheSlotsOfItsPredecessor() {
        start(13, 1.4 * capacityPerSecond());
        runUntil(5 * SECOND);
        processes.get(0).isDown = true;
        processes.stream().skip(1).forEach(process -> process.cell.updateOwner("p1", random));
        runUntil(20 * SECOND);
        assertThat(mostRejections).isLessThanOrEqualTo(MAX_REJECTIONS);
        assertThat(served).isGreaterThan((int) (0.7 * 18 * capacityPerSecond()));
    }
}
