package org.dotterelcourse.policy.cell;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;

/**
 * The baseline that every other scheduler is measured against: one first-in-first-out queue, and a random worker among
 * those with room. It knows no tiers, shares or targets.
 */
public final class FifoScheduler implements CellScheduler {
    private static final long RETRY_AFTER_NANOS = 1_000_000_000L;

    private final int maxWaiting;
    private final RandomGenerator random;
    private final Deque<CellRequest> queue = new ArrayDeque<>();
    private final Map<Long, String> grants = new HashMap<>();
    private final Map<String, Integer> running = new HashMap<>();
    private List<WorkerInfo> workers = List.of();
    private long lastGrant;

    /**
     * Makes an empty queue without workers.
     *
     * @param maxWaiting how many requests may wait
     * @param random picks the worker
     */
    public FifoScheduler(int maxWaiting, RandomGenerator random) {
        this.maxWaiting = maxWaiting;
        this.random = random;
    }

    @Override
    public List<CellEffect> offer(CellRequest ask, long nowNanos) {
        if (queue.size() >= maxWaiting) {
            return List.of(new CellEffect.Refused(ask.id(), RefusalReason.CELL_FULL, RETRY_AFTER_NANOS));
        }
        queue.addLast(ask);
        return drain(nowNanos);
    }

    @Override
    public List<CellEffect> withdraw(String requestId, long nowNanos) {
        queue.removeIf(ask -> ask.id().equals(requestId));
        return List.of();
    }

    @Override
    public List<CellEffect> progress(long grant, int outputTokens, long nowNanos) {
        return List.of();
    }

    @Override
    public List<CellEffect> release(long grant, Completion completion, long nowNanos) {
        String worker = grants.remove(grant);
        if (worker == null) {
            return List.of();
        }
        running.merge(worker, -1, Integer::sum);
        return drain(nowNanos);
    }

    @Override
    public long adopt(CellRequest ask, String worker, long nowNanos) {
        lastGrant++;
        grants.put(lastGrant, worker);
        running.merge(worker, 1, Integer::sum);
        return lastGrant;
    }

    @Override
    public List<CellEffect> updateWorkers(List<WorkerInfo> published, long nowNanos) {
        workers = List.copyOf(published);
        return drain(nowNanos);
    }

    @Override
    public List<CellEffect> recordLoadReport(WorkerReport report, long nowNanos) {
        return List.of();
    }

    @Override
    public List<CellEffect> advance(long nowNanos) {
        return drain(nowNanos);
    }

    @Override
    public int waitingCount() {
        return queue.size();
    }

    private List<CellEffect> drain(long nowNanos) {
        List<CellEffect> effects = new ArrayList<>();
        while (!queue.isEmpty()) {
            List<WorkerInfo> free = freeWorkers(queue.peekFirst());
            if (free.isEmpty()) {
                break;
            }
            effects.add(grant(queue.removeFirst(), free.get(random.nextInt(free.size())), nowNanos));
        }
        return effects;
    }

    private CellEffect grant(CellRequest ask, WorkerInfo worker, long nowNanos) {
        long grant = adopt(ask, worker.name(), nowNanos);
        return new CellEffect.Granted(ask.id(), grant, worker.name());
    }

    private List<WorkerInfo> freeWorkers(CellRequest ask) {
        List<WorkerInfo> free = new ArrayList<>();
        for (WorkerInfo worker : workers) {
            boolean room = running.getOrDefault(worker.name(), 0) < worker.concurrency();
            if (room && !worker.leaving() && !ask.excludedWorkers().contains(worker.name())) {
                free.add(worker);
            }
        }
        return free;
    }
}
