package org.dotterelcourse.coordination.grant;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The smallest useful arbiter: first in, first out, on the worker with the most free places. For embedders without a
 * policy of their own, for tests and for measurements.
 */
public final class FifoArbiter implements Arbiter {
    /** The reason code of a refusal because the queue is full. */
    public static final String QUEUE_FULL = "QUEUE_FULL";

    private static final long RETRY_AFTER_NANOS = 1_000_000_000L;

    private final Map<String, Integer> free = new LinkedHashMap<>();
    private final int maxWaiting;
    private final Deque<String> queue = new ArrayDeque<>();
    private final Map<Long, String> workerByGrant = new HashMap<>();
    private long lastGrant;

    /**
     * Makes an arbiter.
     *
     * @param capacityByWorker how many requests each worker runs at once
     * @param maxWaiting how many asks may wait
     */
    public FifoArbiter(Map<String, Integer> capacityByWorker, int maxWaiting) {
        this.free.putAll(capacityByWorker);
        this.maxWaiting = maxWaiting;
    }

    @Override
    public List<Decision> offer(String askId, long arrivalNanos, byte[] terms, long nowNanos) {
        if (queue.size() >= maxWaiting) {
            return List.of(new Decision.Refused(askId, QUEUE_FULL, RETRY_AFTER_NANOS));
        }
        queue.addLast(askId);
        return drain();
    }

    @Override
    public List<Decision> withdraw(String askId, long nowNanos) {
        queue.remove(askId);
        return List.of();
    }

    @Override
    public List<Decision> progress(long grant, int units, long nowNanos) {
        return List.of();
    }

    @Override
    public List<Decision> release(long grant, byte[] observation, long nowNanos) {
        return expire(grant, nowNanos);
    }

    @Override
    public List<Decision> expire(long grant, long nowNanos) {
        String worker = workerByGrant.remove(grant);
        if (worker == null) {
            return List.of();
        }
        free.merge(worker, 1, Integer::sum);
        return drain();
    }

    @Override
    public long adopt(String askId, String worker, long arrivalNanos, byte[] terms, long nowNanos) {
        return take(worker);
    }

    @Override
    public List<Decision> advance(long nowNanos) {
        return drain();
    }

    private List<Decision> drain() {
        List<Decision> decisions = new ArrayList<>();
        while (!queue.isEmpty()) {
            String worker = freest();
            if (worker == null) {
                break;
            }
            decisions.add(new Decision.Granted(queue.removeFirst(), take(worker), worker));
        }
        return decisions;
    }

    private String freest() {
        String best = null;
        int most = 0;
        for (Map.Entry<String, Integer> entry : free.entrySet()) {
            if (entry.getValue() > most) {
                best = entry.getKey();
                most = entry.getValue();
            }
        }
        return best;
    }

    private long take(String worker) {
        lastGrant++;
        workerByGrant.put(lastGrant, worker);
        free.merge(worker, -1, Integer::sum);
        return lastGrant;
    }
}
