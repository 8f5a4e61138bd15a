package org.dotterelcourse.gateway.slots;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

import org.dotterelcourse.coordination.grant.Arbiter;
import org.dotterelcourse.coordination.grant.Decision;
import org.dotterelcourse.policy.rate.SlotLedger;

/**
 * Grants the slots of one brittle worker to the requests of all processes: the most urgent first, those of equal priority in
 * the order of their arrival. Rejects a request at once if it would have to wait for longer than it may.
 */
final class SlotArbiter implements Arbiter {
    /** Reason code of a rejection because the worker has no room in time. */
    static final String NO_ROOM = "NO_ROOM";

    /** Shortest time until a rejected request is worth another try: about the duration of a few plain calls. */
    private static final long MIN_RETRY_NANOS = 100_000_000L;

    private final String worker;
    private final Supplier<SlotLedger.Bounds> bounds;
    private final SlotLedger ledger = new SlotLedger();
    private final Map<String, Waiting> waitingById = new HashMap<>();
    private final TreeSet<Waiting> waiting = new TreeSet<>(Comparator.comparingInt(Waiting::priority)
            .thenComparingLong(Waiting::arrivalNanos)
            .thenComparing(Waiting::askId));
    private long lastGrant;

    /** A request that waits for a slot. */
    private record Waiting(String askId, int priority, long arrivalNanos, long expiresNanos) {}

    /**
     * Creates an arbiter without requests.
     *
     * @param worker id of the worker
     * @param bounds returns what is known of the worker from elsewhere
     */
    SlotArbiter(String worker, Supplier<SlotLedger.Bounds> bounds) {
        this.worker = worker;
        this.bounds = bounds;
    }

    int waiting() {
        return waiting.size();
    }

    int room(long nowNanos) {
        return ledger.currentRoom(nowNanos);
    }

    @Override
    public List<Decision> offer(String askId, long arrivalNanos, byte[] terms, long nowNanos) {
        SlotTerms decoded;
        try {
            decoded = SlotTerms.decode(terms);
        } catch (IllegalArgumentException e) {
            return List.of(new Decision.Refused(askId, NO_ROOM, MIN_RETRY_NANOS));
        }
        long maxWaitNanos = TimeUnit.MILLISECONDS.toNanos(decoded.maxWaitMillis());
        Waiting added = new Waiting(askId, decoded.priority(), arrivalNanos, nowNanos + maxWaitNanos);
        int ahead = waiting.headSet(added).size();
        long expectedNanos = ledger.expectedWaitNanos(ahead, nowNanos);
        if (ahead > 0 && expectedNanos > maxWaitNanos) {
            return List.of(refusal(askId, nowNanos));
        }
        waitingById.put(askId, added);
        waiting.add(added);
        return decide(nowNanos);
    }

    @Override
    public List<Decision> withdraw(String askId, long nowNanos) {
        Waiting withdrawn = waitingById.remove(askId);
        if (withdrawn != null) {
            waiting.remove(withdrawn);
        }
        return List.of();
    }

    @Override
    public List<Decision> progress(long grant, int units, long nowNanos) {
        return List.of();
    }

    @Override
    public List<Decision> release(long grant, byte[] observation, long nowNanos) {
        ledger.recordEnd(grant, SlotTerms.decodeEnd(observation), nowNanos);
        return decide(nowNanos);
    }

    @Override
    public List<Decision> expire(long grant, long nowNanos) {
        ledger.recordEnd(grant, SlotLedger.End.UNSEEN, nowNanos);
        return decide(nowNanos);
    }

    @Override
    public long adopt(String askId, String adoptedWorker, long arrivalNanos, byte[] terms, long nowNanos) {
        lastGrant++;
        ledger.recordSend(lastGrant, nowNanos);
        return lastGrant;
    }

    @Override
    public List<Decision> advance(long nowNanos) {
        return decide(nowNanos);
    }

    private List<Decision> decide(long nowNanos) {
        if (waiting.isEmpty()) {
            return List.of();
        }
        ledger.updateBounds(bounds.get());
        List<Decision> decisions = new ArrayList<>();
        removeExpired(decisions, nowNanos);
        while (!waiting.isEmpty() && ledger.hasRoom(nowNanos)) {
            Waiting next = waiting.pollFirst();
            waitingById.remove(next.askId());
            lastGrant++;
            ledger.recordSend(lastGrant, nowNanos);
            decisions.add(new Decision.Granted(next.askId(), lastGrant, worker));
        }
        return decisions;
    }

    private void removeExpired(List<Decision> decisions, long nowNanos) {
        for (Iterator<Waiting> each = waiting.iterator(); each.hasNext(); ) {
            Waiting next = each.next();
            if (next.expiresNanos() - nowNanos <= 0) {
                each.remove();
                waitingById.remove(next.askId());
                decisions.add(refusal(next.askId(), nowNanos));
            }
        }
    }

    private Decision refusal(String askId, long nowNanos) {
        long retryNanos = Math.max(MIN_RETRY_NANOS, ledger.expectedWaitNanos(waiting.size(), nowNanos));
        return new Decision.Refused(askId, NO_ROOM, retryNanos);
    }
}
