package org.dotterelcourse.coordination.grant;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * First-in, first-out arbiter that assigns requests to the worker with the most free slots. For embedders without a policy of their
 * own, for tests and for measurements.
 */
public final class FifoArbiter implements Arbiter {
    /** Reason code of a rejection because the queue is full. */
    public static final String QUEUE_FULL = "QUEUE_FULL";

    private static final long RETRY_AFTER_NANOS = 1_000_000_000L;

    private final Map<String, Integer> freeSlots = new LinkedHashMap<>();
    private final int maxWaiting;
    private final Deque<String> queue = new ArrayDeque<>();
    private final Map<Long, String> workerByGrant = new HashMap<>();
    private long lastGrant;

    /**
     * Creates an arbiter.
     *
     * @param capacityByWorker maximum number of concurrent requests by worker name
     * @param maxWaiting maximum number of waiting asks
     */
    public FifoArbiter(Map<String, Integer> capacityByWorker, int maxWaiting) {
        this.freeSlots.putAll(capacityByWorker);
        this.maxWaiting = maxWaiting;
    }

    @Override
    public List<Decision> offer(String askId, long arrivalNanos, byte[] terms, long nowNanos) {
        if (queue.size() >= maxWaiting) {
            return List.of(new Decision.Refused(askId, QUEUE_FULL, RETRY_AFTER_NANOS));
        }
        queue.addLast(askId);
        return grantWaiting();
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
        freeSlots.merge(worker, 1, Integer::sum);
        return grantWaiting();
    }

    @Override
    public long adopt(String askId, String worker, long arrivalNanos, byte[] terms, long nowNanos) {
        return allocate(worker);
    }

    @Override
    public List<Decision> advance(long nowNanos) {
        return grantWaiting();
    }

    private List<Decision> grantWaiting() {
        List<Decision> decisions = new ArrayList<>();
        while (!queue.isEmpty()) {
            String worker = workerWithMostFreeSlots();
            if (worker == null) {
                break;
            }
            decisions.add(new Decision.Granted(queue.removeFirst(), allocate(worker), worker));
        }
        return decisions;
    }

    private String workerWithMostFreeSlots() {
        String bestWorker = null;
        int bestSlots = 0;
        for (Map.Entry<String, Integer> entry : freeSlots.entrySet()) {
            if (entry.getValue() > bestSlots) {
                bestWorker = entry.getKey();
                bestSlots = entry.getValue();
            }
        }
        return bestWorker;
    }

    private long allocate(String worker) {
        lastGrant++;
        workerByGrant.put(lastGrant, worker);
        freeSlots.merge(worker, -1, Integer::sum);
        return lastGrant;
    }
}
