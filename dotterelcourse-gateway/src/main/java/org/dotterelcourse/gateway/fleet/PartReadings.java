package org.dotterelcourse.gateway.fleet;

import java.net.ConnectException;
import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BooleanSupplier;

import com.codahale.metrics.Counter;
import io.netty.channel.ConnectTimeoutException;
import org.dotterelcourse.gateway.GatewayLoop;
import org.dotterelcourse.gateway.GatewayState;
import org.dotterelcourse.gateway.fleet.generated.FleetProtos.PartReading.State;
import org.dotterelcourse.gateway.forward.KeptPartReader;
import org.dotterelcourse.gateway.workers.WorkerEntry;
import org.dotterelcourse.policy.resumption.StreamKey;
import org.jboss.logging.Logger;

/**
 * What this process has lately read of the parts of prompts that workers keep. Nothing is read unless it is asked for, and no
 * worker more often than necessary, since reading delays its work. Used on the gateway's event loop only.
 */
final class PartReadings {
    private static final Logger LOG = Logger.getLogger(PartReadings.class);

    /** Time after which a worker that was read is read again. */
    private static final long MIN_INTERVAL_NANOS = 2_000_000_000L;

    /** Time after which a worker that was not read successfully is tried again. */
    private static final long RETRY_INTERVAL_NANOS = 500_000_000L;

    /** Time for which a reading holds; allows a process that is alone to read some hundred workers. */
    private static final long VALID_NANOS = 5_000_000_000L;

    /**
     * Workers that are read in one period. A process that has just started knows few peers, and would take too many workers
     * for its own.
     */
    private static final int MAX_READS = 32;

    private static final long READ_PERIOD_NANOS = 500_000_000L;

    /** Longer than a sound worker may be silent. */
    private static final Duration TIMEOUT = Duration.ofMillis(2_000);

    private final GatewayLoop loop;
    private final GatewayState state;
    private final KeptPartReader reader;
    private final BooleanSupplier isCutOff;
    private final Counter reads;
    private final Map<String, Entry> entries = new HashMap<>();
    private Runnable listener = () -> {};
    private long periodNanos;
    private int readsInPeriod;

    /** The last attempt to read a worker, and what the last successful one has shown. */
    private static final class Entry {
        private final WorkerEntry worker;
        private long begunNanos;
        private boolean isInProgress;
        private boolean isGone;
        private long readNanos;
        private Optional<Set<StreamKey>> parts = Optional.empty();

        private Entry(WorkerEntry worker) {
            this.worker = worker;
        }
    }

    /**
     * What is known of one worker.
     *
     * @param state whether it was read
     * @param parts the parts that it keeps; empty unless it was read
     */
    record Reading(State state, Set<StreamKey> parts) {
        private static final Reading UNREAD = new Reading(State.UNREAD, Set.of());
        private static final Reading GONE = new Reading(State.GONE, Set.of());
    }

    /**
     * Creates an empty collection of readings.
     *
     * @param isCutOff whether this process reaches no worker, so that a refused connection says nothing of the worker
     */
    PartReadings(GatewayLoop loop, GatewayState state, KeptPartReader reader, BooleanSupplier isCutOff, Counter reads) {
        this.loop = loop;
        this.state = state;
        this.reader = reader;
        this.isCutOff = isCutOff;
        this.reads = reads;
    }

    /** Sets what is called when a reading has ended. */
    void onChange(Runnable value) {
        listener = value;
    }

    /** Reads workers, except those that were read a moment ago and those beyond the limit, which have to wait. */
    void read(Collection<WorkerEntry> workers) {
        long nowNanos = loop.nowNanos();
        if (nowNanos - periodNanos >= READ_PERIOD_NANOS) {
            periodNanos = nowNanos;
            readsInPeriod = 0;
        }
        List<WorkerEntry> due = workers.stream()
                .filter(worker -> isDue(worker, nowNanos))
                .limit(MAX_READS - readsInPeriod)
                .toList();
        if (due.isEmpty()) {
            return;
        }
        readsInPeriod += due.size();
        LOG.infof(
                "a resumed stream of %s is not known, reading what %d of its workers keep",
                due.get(0).upstream(), due.size());
        due.forEach(this::read);
    }

    private boolean isDue(WorkerEntry worker, long nowNanos) {
        Entry entry = entries.get(worker.id());
        if (entry == null || !isSame(entry.worker, worker)) {
            return true;
        }
        boolean wasRead = entry.parts.isPresent() && entry.readNanos == entry.begunNanos;
        return !entry.isInProgress
                && nowNanos - entry.begunNanos >= (wasRead ? MIN_INTERVAL_NANOS : RETRY_INTERVAL_NANOS);
    }

    private void read(WorkerEntry worker) {
        Entry entry = entries.compute(
                worker.id(), (id, last) -> last != null && isSame(last.worker, worker) ? last : new Entry(worker));
        entry.begunNanos = loop.nowNanos();
        entry.isInProgress = true;
        reads.inc();
        reader.read(worker)
                .timeout(TIMEOUT, loop.scheduler())
                .publishOn(loop.scheduler())
                .subscribe(parts -> record(entry, parts), error -> recordFailure(entry, error));
    }

    /** Records the parts of a worker, unless it may have started again meanwhile. */
    private void record(Entry entry, List<String> parts) {
        entry.isInProgress = false;
        boolean isCurrent = state.workers()
                .find(entry.worker.id())
                .filter(current -> isSame(current.entry(), entry.worker))
                .isPresent();
        if (isCurrent) {
            Set<StreamKey> keys = new HashSet<>();
            parts.forEach(part -> keys.add(StreamKey.ofPart(entry.worker.upstream(), part)));
            entry.parts = Optional.of(keys);
            entry.readNanos = entry.begunNanos;
            entry.isGone = false;
        }
        listener.run();
    }

    private void recordFailure(Entry entry, Throwable error) {
        entry.isInProgress = false;
        entry.isGone = error instanceof ConnectException
                && !(error instanceof ConnectTimeoutException)
                && !isCutOff.getAsBoolean();
        LOG.infof(
                "%s does not tell which prompts it keeps, %s: %s",
                entry.worker.id(), entry.isGone ? "it is taken for gone" : "it is not taken into account", error);
        listener.run();
    }

    /** Returns whether a worker is being read, or will be once the limit allows it. */
    boolean isPending(WorkerEntry worker) {
        Entry entry = entries.get(worker.id());
        return entry == null || !isSame(entry.worker, worker) || entry.isInProgress;
    }

    /** Returns what is known of a worker. */
    Reading find(WorkerEntry worker) {
        Entry entry = entries.get(worker.id());
        if (entry == null || !isSame(entry.worker, worker)) {
            return Reading.UNREAD;
        }
        long nowNanos = loop.nowNanos();
        if (entry.parts.isPresent() && nowNanos - entry.readNanos < VALID_NANOS) {
            return new Reading(State.READ, entry.parts.get());
        }
        return entry.isGone && nowNanos - entry.begunNanos < VALID_NANOS ? Reading.GONE : Reading.UNREAD;
    }

    /** Removes what no longer holds. */
    void removeExpired() {
        long nowNanos = loop.nowNanos();
        entries.values().removeIf(entry -> !entry.isInProgress && nowNanos - entry.begunNanos >= VALID_NANOS);
    }

    /** Returns whether two entries are of the same start of a worker with the same software. */
    private static boolean isSame(WorkerEntry one, WorkerEntry other) {
        return one.incarnation() == other.incarnation() && one.version().equals(other.version());
    }
}
