package org.dotterelcourse.gateway.forward;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;

import org.dotterelcourse.gateway.GatewayLoop;
import org.dotterelcourse.gateway.GatewayState;
import org.dotterelcourse.policy.line.PendingRequest;
import org.dotterelcourse.policy.line.UpstreamQueue;
import org.dotterelcourse.policy.selection.LatencyClass;
import org.dotterelcourse.policy.selection.Prompt;
import reactor.core.publisher.Mono;
import reactor.core.publisher.MonoSink;

/**
 * Lets calls that can wait for their first event through to the engines as these have room, in the order of the
 * {@link UpstreamQueue}. Used on the gateway's loop only.
 */
final class EngineLines {
    /** Below the time in which peers tell each other of free places, and well below the latency targets of such calls. */
    private static final long LOOK_MILLIS = 20;

    /** Shortest time after which a client is told to come back: about that in which an engine reads a prompt or two. */
    private static final long LEAST_RETRY_MILLIS = 250;

    /** Longest such time: bursts are over by then, and clients come back while their answer is still worth something. */
    private static final long MOST_RETRY_MILLIS = 4_000;

    /** Part of the time that is left to chance, so that clients refused together don't come back together. */
    private static final double SPREAD = 0.5;

    private static final long NANOS_PER_MILLI = 1_000_000L;

    private final GatewayLoop loop;
    private final GatewayState state;
    private final Selection selection;
    private final RandomGenerator random;
    private final Map<String, UpstreamQueue<Entry>> lines = new HashMap<>();
    private boolean looking;

    /** A call in a line, and who hears of its end there; two are never equal. */
    private static final class Entry {
        private final Call call;
        private final MonoSink<Admitted> sink;

        private Entry(Call call, MonoSink<Admitted> sink) {
            this.call = call;
            this.sink = sink;
        }
    }

    /** How a call's wait ended. */
    sealed interface Admitted {
        /**
         * It was tried; there may be no worker at all.
         *
         * @param outcome a place or no worker
         */
        record Through(Selection.Outcome outcome) implements Admitted {}

        /**
         * It can't end in time.
         *
         * @param retryAfterMillis when its client should come back
         */
        record Refused(long retryAfterMillis) implements Admitted {}
    }

    EngineLines(GatewayLoop loop, GatewayState state, Selection selection, RandomGenerator random) {
        this.loop = loop;
        this.state = state;
        this.selection = selection;
        this.random = random;
    }

    /** Whether a call waits for room: its first attempt only, so that nobody waits twice. */
    static boolean waits(Call call) {
        return patient(call) && call.tried().isEmpty();
    }

    /** Whether a call's first event may come later than a long prompt is read. */
    static boolean patient(Call call) {
        return call.terms().prompt().map(Prompt::latencyClass).orElse(LatencyClass.START_SENSITIVE)
                == LatencyClass.DELAY_TOLERANT;
    }

    /** Places a call, at once or when it is its turn. */
    Mono<Admitted> admit(Call call) {
        return Mono.defer(() -> {
            long now = loop.nowNanos();
            UpstreamQueue<Entry> line = line(call);
            if (line.size() == 0) {
                Selection.Outcome outcome = selection.placeInRoom(call, now);
                if (!(outcome instanceof Selection.Outcome.NoRoom)) {
                    line.recordDispatch(call.terms().customer(), now);
                    return Mono.just(new Admitted.Through(outcome));
                }
            }
            if (line.expectedWaitMillis(now) > call.leftMillis(now) - Selection.usualMillis(call)) {
                return Mono.just(new Admitted.Refused(retryAfterMillis(line, now)));
            }
            return Mono.create(sink -> join(line, new Entry(call, sink)));
        });
    }

    private UpstreamQueue<Entry> line(Call call) {
        return lines.computeIfAbsent(call.terms().upstream().name(), upstream -> new UpstreamQueue<>());
    }

    private void join(UpstreamQueue<Entry> line, Entry entry) {
        Call.Terms terms = entry.call.terms();
        double lead = state.engineModel(terms.upstream().name()).leadTimeMillis();
        long onTime = terms.arrivalNanos() + nanos(terms.route().targetMillis() - lead);
        long inTime = terms.deadlineNanos() - nanos(Selection.usualMillis(entry.call));
        line.add(new PendingRequest<>(entry, terms.priority(), terms.customer(), terms.arrivalNanos(), onTime, inTime));
        entry.sink.onDispose(() -> line.remove(entry));
        if (!looking) {
            looking = true;
            loop.runAfter(LOOK_MILLIS, this::look);
        }
    }

    private static long nanos(double millis) {
        return (long) (millis * NANOS_PER_MILLI);
    }

    private void look() {
        long now = loop.nowNanos();
        for (UpstreamQueue<Entry> line : lines.values()) {
            refuse(line, line.removeExpired(now), now);
            letThrough(line, now);
        }
        looking = lines.values().stream().anyMatch(line -> line.size() > 0);
        if (looking) {
            loop.runAfter(LOOK_MILLIS, this::look);
        }
    }

    private void letThrough(UpstreamQueue<Entry> line, long now) {
        int allowed = line.peekNext(now)
                .map(first -> partOfRoom(first.item().call, now))
                .orElse(0);
        for (int i = 0; i < allowed && line.size() > 0; i++) {
            Entry entry = line.peekNext(now).orElseThrow().item();
            Selection.Outcome outcome = selection.placeInRoom(entry.call, now);
            if (outcome instanceof Selection.Outcome.NoRoom) {
                return;
            }
            line.remove(entry);
            line.recordDispatch(entry.call.terms().customer(), now);
            entry.sink.success(new Admitted.Through(outcome));
        }
    }

    /** All processes see the same free places; each takes its part of them, by chance where that is less than one. */
    private int partOfRoom(Call call, long now) {
        double part = selection.room(call, now) / (double) Math.max(1, state.reachableProcesses());
        int whole = (int) part;
        return whole + (random.nextDouble() < part - whole ? 1 : 0);
    }

    /** The process takes nothing on any more: who waits is told to go elsewhere. */
    void close() {
        lines.values().forEach(line -> refuse(line, line.removeAll(), loop.nowNanos()));
    }

    private void refuse(UpstreamQueue<Entry> line, List<PendingRequest<Entry>> refused, long now) {
        refused.forEach(each -> each.item().sink.success(new Admitted.Refused(retryAfterMillis(line, now))));
    }

    private long retryAfterMillis(UpstreamQueue<Entry> line, long now) {
        double wait = Math.min(MOST_RETRY_MILLIS, Math.max(LEAST_RETRY_MILLIS, line.expectedWaitMillis(now)));
        return (long) (wait * (1 - SPREAD / 2 + SPREAD * random.nextDouble()));
    }
}
