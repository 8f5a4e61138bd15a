package org.dotterelcourse.policy.cell;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;

/**
 * A baseline to compare other schedulers with: one first-in-first-out queue, and a random worker among those with free
 * slots. It ignores tiers, minimum shares and targets.
 */
public final class FifoScheduler implements CellScheduler {
    private static final long RETRY_AFTER_NANOS = 1_000_000_000L;

    private final int maxWaiting;
    private final RandomGenerator random;
    private final Deque<CellRequest> queue = new ArrayDeque<>();
    private final Map<Long, String> workerByGrant = new HashMap<>();
    private final Map<String, Integer> runningByWorker = new HashMap<>();
    private List<WorkerInfo> workers = List.of();
    private long lastGrant;

    /**
     * Creates a scheduler with an empty queue and no workers.
     *
     * @param maxWaiting maximum number of queued requests
     * @param random source of randomness for the choice of workers
     */
    public FifoScheduler(int maxWaiting, RandomGenerator random) {
        this.maxWaiting = maxWaiting;
        this.random = random;
    }

    @Override
    public List<CellEffect> offer(CellRequest request, long nowNanos) {
        if (queue.size() >= maxWaiting) {
            return List.of(new CellEffect.Refused(request.id(), RefusalReason.CELL_FULL, RETRY_AFTER_NANOS));
        }
        queue.addLast(request);
        return drain(nowNanos);
    }

    @Override
    public List<CellEffect> withdraw(String requestId, long nowNanos) {
        queue.removeIf(request -> request.id().equals(requestId));
        return List.of();
    }

    @Override
    public List<CellEffect> progress(long grant, int outputTokens, long nowNanos) {
        return List.of();
    }

    @Override
    public List<CellEffect> release(long grant, Completion completion, long nowNanos) {
        String worker = workerByGrant.remove(grant);
        if (worker == null) {
            return List.of();
        }
        runningByWorker.merge(worker, -1, Integer::sum);
        return drain(nowNanos);
    }

    @Override
    public long adopt(CellRequest request, String worker, long nowNanos) {
        lastGrant++;
        workerByGrant.put(lastGrant, worker);
        runningByWorker.merge(worker, 1, Integer::sum);
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

    private CellEffect grant(CellRequest request, WorkerInfo worker, long nowNanos) {
        long grant = adopt(request, worker.name(), nowNanos);
        return new CellEffect.Granted(request.id(), grant, worker.name());
    }

    private List<WorkerInfo> freeWorkers(CellRequest request) {
        List<WorkerInfo> free = new ArrayList<>();
        for (WorkerInfo worker : workers) {
            boolean hasFreeSlot = runningByWorker.getOrDefault(worker.name(), 0) < worker.concurrency();
            if (hasFreeSlot && !worker.leaving() && !request.excludedWorkers().contains(worker.name())) {
                free.add(worker);
            }
        }
        return free;
    }
}
