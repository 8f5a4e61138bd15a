package org.dotterelcourse.coordination.order;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.TreeSet;

import static org.assertj.core.api.Assertions.assertThat;

/** Simulation of three daemons that issue orders, six engines that load one version at a time, and delayed messages. */
final class OrderFleet {
    static final long MILLI_NANOS = 1_000_000L;
    static final long STEP_NANOS = 20 * MILLI_NANOS;
    static final int ENGINES = 6;
    static final int MIN_SERVING = 4;
    static final String MODEL = "sabla-llm";
    static final OrderSettings SETTINGS = new OrderSettings(
            1_000 * MILLI_NANOS, 3_000 * MILLI_NANOS, 2_000 * MILLI_NANOS, 10_000 * MILLI_NANOS, 200 * MILLI_NANOS, 2);

    final SplittableRandom random;
    final boolean checksFences;
    final List<Daemon> daemons = new ArrayList<>();
    final Map<String, Engine> engines = new TreeMap<>();
    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private final List<Write> writes = new ArrayList<>();
    private long lastEvent;
    long newestNumber = 1;
    long lowestServing = ENGINES;
    long nowNanos;

    private record Event(long dueNanos, long order, Runnable action) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            int byTime = Long.compare(dueNanos, other.dueNanos);
            return byTime != 0 ? byTime : Long.compare(order, other.order);
        }
    }

    private record Write(Daemon writer, long number, long writtenNanos) {}

    /** An engine that can have one version loaded. */
    static final class Engine {
        final TreeSet<ModelVersion> loaded = new TreeSet<>();
        private ModelVersion loading;
        private long loadEndNanos;
        private Fence fence = Fence.NONE;
    }

    /** A daemon that may own the cell. */
    final class Daemon {
        final String name;
        final OrderIssuer issuer = new OrderIssuer(SETTINGS);
        int partition;
        long pausedUntilNanos;
        long lastPausedOrPartitionedNanos;
        long highestNumber;
        private boolean ownsCell;
        private long lastAskNanos;
        private long lastReadNanos;
        private final List<Runnable> inbox = new ArrayList<>();

        Daemon(String name) {
            this.name = name;
        }

        void pause(long nanos) {
            pausedUntilNanos = nowNanos + nanos;
        }

        void moveTo(int newPartition) {
            partition = newPartition;
        }

        void deliver(Runnable action) {
            inbox.add(action);
        }

        void step() {
            if (nowNanos < pausedUntilNanos) {
                lastPausedOrPartitionedNanos = nowNanos;
                return;
            }
            List<Runnable> arrived = List.copyOf(inbox);
            inbox.clear();
            arrived.forEach(Runnable::run);
            if (nowNanos - lastAskNanos >= 200 * MILLI_NANOS) {
                lastAskNanos = nowNanos;
                daemons.stream().filter(peer -> peer != this).forEach(this::askPeer);
            }
            if (nowNanos - lastReadNanos >= 300 * MILLI_NANOS) {
                lastReadNanos = nowNanos;
                engines.forEach(this::read);
            }
            perform(issuer.advance(nowNanos));
        }

        private void askPeer(Daemon peer) {
            long askedNanos = nowNanos;
            send(peer, () -> {
                long answer = peer.highestNumber;
                peer.send(this, () -> issuer.confirmNumber(answer, askedNanos));
            });
        }

        private void send(Daemon to, Runnable action) {
            if (to.partition == partition) {
                schedule(100 * MILLI_NANOS, () -> to.deliver(action));
            }
        }

        private void read(String worker, Engine engine) {
            EngineState state = new EngineState(worker, engine.fence, new TreeSet<>(engine.loaded), "", nowNanos);
            schedule(300 * MILLI_NANOS, () -> deliver(() -> issuer.report(state)));
        }

        void applyConfiguration(long number) {
            highestNumber = Math.max(highestNumber, number);
            issuer.updateGoal(goal(number));
        }

        private void perform(List<OrderEffect> effects) {
            for (OrderEffect effect : effects) {
                if (effect instanceof OrderEffect.Drain drain) {
                    schedule(
                            100 * MILLI_NANOS,
                            () -> deliver(
                                    () -> perform(issuer.completeDrain(drain.worker(), drain.version(), nowNanos))));
                } else if (effect instanceof OrderEffect.Issue issue) {
                    schedule(200 * MILLI_NANOS, () -> deliver(() -> write(issue.order())));
                }
            }
        }

        private void write(Order order) {
            if (!issuer.mayWrite(order, nowNanos)) {
                issuer.handleAnswer(order, new OrderAnswer.NotWritten(), nowNanos);
                return;
            }
            assertNoHigherNumberWasReachable(this, order.fence().number());
            writes.add(new Write(this, order.fence().number(), nowNanos));
            schedule(100 * MILLI_NANOS, () -> {
                OrderAnswer answer = executeOrder(order);
                schedule(100 * MILLI_NANOS, () -> deliver(() -> issuer.handleAnswer(order, answer, nowNanos)));
            });
        }
    }

    OrderFleet(long seed, boolean checksFences) {
        random = new SplittableRandom(seed);
        this.checksFences = checksFences;
        for (int i = 0; i < 3; i++) {
            daemons.add(new Daemon("entry-" + i));
        }
        for (int i = 0; i < ENGINES; i++) {
            Engine engine = new Engine();
            engine.loaded.add(new ModelVersion(MODEL, "v1"));
            engines.put("llm-" + i, engine);
        }
        publish();
    }

    CellGoal goal(long number) {
        TreeMap<String, WorkerGoal> workers = new TreeMap<>();
        TreeSet<ModelVersion> versions = new TreeSet<>(List.of(new ModelVersion(MODEL, "v" + number)));
        engines.keySet().forEach(name -> workers.put(name, new WorkerGoal("", versions, 1)));
        return new CellGoal(number, workers, Map.of(MODEL, MIN_SERVING), checksFences);
    }

    void publishNextNumber() {
        newestNumber++;
        publish();
    }

    /** Delivers the newest configuration to every daemon after a random delay, also to those in the other partition. */
    void publish() {
        long number = newestNumber;
        daemons.forEach(
                daemon -> schedule(5_000 * MILLI_NANOS, () -> daemon.deliver(() -> daemon.applyConfiguration(number))));
        updateOwners();
    }

    /**
     * In each partition, the first daemon that isn't paused owns the cell; each daemon learns this after a random
     * delay.
     */
    void updateOwners() {
        boolean[] hasOwner = new boolean[2];
        for (Daemon daemon : daemons) {
            daemon.ownsCell = nowNanos >= daemon.pausedUntilNanos && !hasOwner[daemon.partition];
            hasOwner[daemon.partition] |= daemon.ownsCell;
            schedule(400 * MILLI_NANOS, () -> daemon.deliver(() -> daemon.issuer.setOwner(daemon.ownsCell, nowNanos)));
        }
    }

    void schedule(long maxDelayNanos, Runnable action) {
        lastEvent++;
        events.add(new Event(nowNanos + 1 + random.nextLong(maxDelayNanos), lastEvent, action));
    }

    void run(long nanos) {
        long endNanos = nowNanos + nanos;
        while (nowNanos < endNanos) {
            nowNanos += STEP_NANOS;
            while (!events.isEmpty() && events.peek().dueNanos() <= nowNanos) {
                events.poll().action().run();
            }
            engines.values().forEach(this::finishLoad);
            daemons.forEach(Daemon::step);
            lowestServing = Math.min(lowestServing, countServing());
            boolean partitioned = daemons.stream().anyMatch(daemon -> daemon.partition != 0);
            daemons.stream()
                    .filter(daemon -> partitioned)
                    .forEach(daemon -> daemon.lastPausedOrPartitionedNanos = nowNanos);
        }
    }

    long countServing() {
        return engines.values().stream()
                .filter(engine -> !engine.loaded.isEmpty())
                .count();
    }

    private void finishLoad(Engine engine) {
        if (engine.loading != null && engine.loadEndNanos <= nowNanos) {
            engine.loaded.add(engine.loading);
            engine.loading = null;
        }
    }

    private OrderAnswer executeOrder(Order order) {
        Engine engine = engines.get(order.worker());
        if (checksFences && order.fence().compareTo(engine.fence) < 0) {
            return new OrderAnswer.Fenced(engine.fence);
        }
        engine.fence = order.fence();
        if (order.action() instanceof OrderAction.Load load) {
            if (engine.loaded.isEmpty() && engine.loading == null) {
                engine.loading = load.version();
                engine.loadEndNanos = nowNanos + (500 + random.nextLong(1_000)) * MILLI_NANOS;
            }
        } else if (order.action() instanceof OrderAction.Unload unload) {
            engine.loaded.remove(unload.version());
        }
        return new OrderAnswer.Accepted();
    }

    /**
     * Asserts that the writer knows every number that another daemon used long enough ago, unless one of the two was
     * paused or the fleet was partitioned since.
     */
    private void assertNoHigherNumberWasReachable(Daemon writer, long number) {
        long exchangeNanos = SETTINGS.maxConfirmationAgeNanos() + 400 * MILLI_NANOS;
        for (Write write : writes) {
            boolean reachable =
                    Math.max(writer.lastPausedOrPartitionedNanos, write.writer().lastPausedOrPartitionedNanos)
                            < write.writtenNanos();
            if (reachable && nowNanos - write.writtenNanos() > exchangeNanos) {
                assertThat(number).as("number after " + write).isGreaterThanOrEqualTo(write.number());
            }
        }
    }
}
