package org.dotterelcourse.policy.cell;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Drives a scheduler with random events, carries out its decisions, and checks the invariants after each of them: each
 * request is open or has ended exactly once, no worker exceeds its concurrency, no worker that is shutting down is
 * granted a request, no request is shed or preempted for one of a lower tier, and the queue stays within its capacity.
 */
final class RandomTrace {
    static final int GUARANTEED = 2;
    static final int MAX_WAITING = 12;
    static final long MILLI = 1_000_000L;

    static final List<ClassTerms> CLASSES = List.of(
            terms("urgent", 1, 0, true),
            terms("quick", 2, 0.2, false),
            terms("plain", 3, 0, false),
            terms("slow", 4, 0.1, false));

    private enum End {
        REFUSED,
        ANSWERED,
        WITHDRAWN,
        FAILED
    }

    final Map<String, CellRequest> queued = new LinkedHashMap<>();
    final Map<String, End> ended = new HashMap<>();
    final Map<Long, CellEffect.Granted> grants = new LinkedHashMap<>();
    final Map<String, CellRequest> requests = new HashMap<>();
    int shedCount;
    int preemptionCount;

    private final boolean allHaveShares;
    private final Random random;
    private final CellScheduler scheduler;
    private final Map<String, WorkerInfo> workers = new LinkedHashMap<>();
    private final Set<String> reportedLeaving = new HashSet<>();
    private long nowNanos;
    private int lastId;

    RandomTrace(long seed, CellScheduler scheduler, boolean allHaveShares) {
        this.allHaveShares = allHaveShares;
        this.random = new Random(seed);
        this.scheduler = scheduler;
    }

    void run(int steps) {
        publish();
        for (int i = 0; i < steps; i++) {
            nowNanos += random.nextInt(20) * MILLI;
            step();
            assertThat(scheduler.waitingCount()).isEqualTo(queued.size());
            assertThat(queued.size()).isLessThanOrEqualTo(MAX_WAITING + CLASSES.size() * GUARANTEED);
            assertThat(queued.size() + ended.size() + grants.size()).isEqualTo(requests.size());
        }
    }

    private void step() {
        int event = random.nextInt(100);
        if (event < 45) {
            offer(newRequest());
        } else if (event < 75) {
            release();
        } else if (event < 85) {
            progress();
        } else if (event < 88) {
            withdraw();
        } else if (event < 90) {
            publish();
        } else if (event < 92) {
            report();
        } else {
            carryOut(scheduler.advance(nowNanos));
        }
    }

    private CellRequest newRequest() {
        lastId++;
        ClassTerms terms = CLASSES.get(random.nextInt(CLASSES.size()));
        long prefix = random.nextInt(4);
        CellRequest request = new CellRequest(
                "r" + lastId,
                terms,
                "customer-" + random.nextInt(3),
                nowNanos,
                10 + random.nextInt(100),
                prefix,
                random.nextInt(4) > 0,
                0,
                Set.of());
        requests.put(request.id(), request);
        return request;
    }

    private void offer(CellRequest request) {
        queued.put(request.id(), request);
        requests.put(request.id(), request);
        carryOut(scheduler.offer(request, nowNanos));
    }

    private void release() {
        if (grants.isEmpty()) {
            return;
        }
        CellEffect.Granted granted = anyGrant();
        grants.remove(granted.grant());
        Completion.End end = Completion.End.values()[random.nextInt(Completion.End.values().length)];
        boolean ran = end == Completion.End.ANSWERED || end == Completion.End.FAILED;
        int tokens = ran ? 1 + random.nextInt(100) : 0;
        WorkerInfo listed = workers.get(granted.worker());
        // If the list already shows the worker as leaving, or lacks it, a later list that shows it active makes it
        // usable.
        if (end == Completion.End.LEAVING && listed != null && !listed.leaving()) {
            reportedLeaving.add(granted.worker());
        }
        ended.put(granted.requestId(), ran ? End.ANSWERED : End.FAILED);
        long duration = (1 + random.nextInt(500)) * MILLI;
        carryOut(scheduler.release(
                granted.grant(), new Completion(end, ran ? duration / 10 : -1, duration, tokens), nowNanos));
    }

    private void progress() {
        if (!grants.isEmpty()) {
            carryOut(scheduler.progress(anyGrant().grant(), random.nextInt(120), nowNanos));
        }
    }

    private void withdraw() {
        if (!queued.isEmpty()) {
            String id = queued.keySet().iterator().next();
            queued.remove(id);
            ended.put(id, End.WITHDRAWN);
            carryOut(scheduler.withdraw(id, nowNanos));
        }
    }

    private void publish() {
        workers.clear();
        for (int i = 1; i <= 3 + random.nextInt(2); i++) {
            String name = "llm-" + i;
            boolean leaving = random.nextInt(10) == 0;
            reportedLeaving.removeIf(reported -> leaving && reported.equals(name));
            workers.put(name, new WorkerInfo(name, "ruwi-hall", 4, leaving));
        }
        reportedLeaving.retainAll(workers.keySet());
        carryOut(scheduler.updateWorkers(List.copyOf(workers.values()), nowNanos));
    }

    private void report() {
        String worker = "llm-" + (1 + random.nextInt(3));
        long measured = nowNanos - random.nextInt(5_000) * MILLI;
        carryOut(scheduler.recordLoadReport(
                new WorkerReport(worker, measured, random.nextInt(6), random.nextInt(3)), nowNanos));
    }

    private void carryOut(List<CellEffect> effects) {
        List<CellRequest> preemptedRequests = new ArrayList<>();
        for (int i = 0; i < effects.size(); i++) {
            if (effects.get(i) instanceof CellEffect.Granted granted) {
                applyGrant(granted);
            } else if (effects.get(i) instanceof CellEffect.Refused refused) {
                applyRefusal(refused);
            } else if (effects.get(i) instanceof CellEffect.Preempted preempted) {
                preemptedRequests.add(applyPreemption(preempted, (CellEffect.Granted) effects.get(i + 1)));
            }
        }
        for (CellRequest request : preemptedRequests) {
            offer(request);
        }
    }

    private void applyGrant(CellEffect.Granted granted) {
        assertThat(queued.remove(granted.requestId())).isNotNull();
        WorkerInfo worker = workers.get(granted.worker());
        assertThat(worker.leaving()).isFalse();
        assertThat(reportedLeaving).doesNotContain(worker.name());
        grants.put(granted.grant(), granted);
        long running = grants.values().stream()
                .filter(other -> other.worker().equals(worker.name()))
                .count();
        assertThat(running).isLessThanOrEqualTo(worker.concurrency());
    }

    private void applyRefusal(CellEffect.Refused refused) {
        CellRequest request = queued.remove(refused.requestId());
        assertThat(ended.put(refused.requestId(), End.REFUSED)).isNull();
        assertThat(refused.retryAfterNanos()).isPositive();
        if (refused.reason() != RefusalReason.CELL_FULL) {
            return;
        }
        shedCount++;
        Map<String, Integer> lower = new HashMap<>();
        for (CellRequest other : queued.values()) {
            if (other.terms().tier() > request.terms().tier()) {
                lower.merge(other.terms().name(), 1, Integer::sum);
            }
        }
        for (ClassTerms terms : CLASSES) {
            int guaranteed = terms.minimumShare() > 0 || allHaveShares ? GUARANTEED : 0;
            assertThat(lower.getOrDefault(terms.name(), 0)).isLessThanOrEqualTo(guaranteed);
        }
    }

    private CellRequest applyPreemption(CellEffect.Preempted preempted, CellEffect.Granted replacement) {
        preemptionCount++;
        assertThat(grants.remove(preempted.grant())).isNotNull();
        CellRequest original = requests.get(preempted.requestId());
        CellRequest urgent = requests.get(replacement.requestId());
        assertThat(original.idempotent()).isTrue();
        assertThat(original.terms().tier()).isGreaterThan(urgent.terms().tier());
        return new CellRequest(
                original.id(),
                original.terms(),
                original.customer(),
                original.arrivalNanos(),
                original.inputTokens(),
                original.prefix(),
                true,
                original.resumedTokens() + 1,
                Set.of());
    }

    private CellEffect.Granted anyGrant() {
        return List.copyOf(grants.values()).get(random.nextInt(grants.size()));
    }

    private static ClassTerms terms(String name, int tier, double share, boolean lateIsUseless) {
        return new ClassTerms(name, tier, share, 8, lateIsUseless, 200 * MILLI * tier, 50 * MILLI, 2_000);
    }
}
