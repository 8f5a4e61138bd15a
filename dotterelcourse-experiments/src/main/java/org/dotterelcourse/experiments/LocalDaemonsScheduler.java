package org.dotterelcourse.experiments;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;

import org.dotterelcourse.policy.cell.CellEffect;
import org.dotterelcourse.policy.cell.CellRequest;
import org.dotterelcourse.policy.cell.CellScheduler;
import org.dotterelcourse.policy.cell.Completion;
import org.dotterelcourse.policy.cell.RefusalReason;
import org.dotterelcourse.policy.cell.WorkerInfo;
import org.dotterelcourse.policy.cell.WorkerReport;

/**
 * A baseline: several daemons, each alone. A request goes to a worker at once and waits there; a daemon knows what it has
 * sent itself and what workers reported, and nothing of the other daemons.
 */
final class LocalDaemonsScheduler implements CellScheduler {
    enum Choice {
        /** The worker with fewest requests of this daemon. */
        LEAST_OUTSTANDING,
        /** The better of two random workers, by report and by what this daemon has sent since. */
        TWO_CHOICES
    }

    private record Sent(int daemon, String worker) {}

    private final int daemons;
    private final int mostPerDaemon;
    private final Choice choice;
    private final RandomGenerator random;
    private final Map<Long, Sent> grants = new HashMap<>();
    private final Map<Sent, Integer> outstanding = new HashMap<>();
    private final int[] open;
    private final Map<String, WorkerReport> reports = new HashMap<>();
    private List<WorkerInfo> workers = List.of();
    private long lastGrant;
    private int nextDaemon;

    LocalDaemonsScheduler(int daemons, int mostOpen, Choice choice, RandomGenerator random) {
        this.daemons = daemons;
        this.mostPerDaemon = mostOpen / daemons;
        this.choice = choice;
        this.random = random;
        this.open = new int[daemons];
    }

    @Override
    public List<CellEffect> offer(CellRequest ask, long nowNanos) {
        nextDaemon = (nextDaemon + 1) % daemons;
        int daemon = nextDaemon;
        List<WorkerInfo> usable = new ArrayList<>(workers);
        usable.removeIf(worker -> worker.leaving() || ask.excludedWorkers().contains(worker.name()));
        if (open[daemon] >= mostPerDaemon || usable.isEmpty()) {
            return List.of(new CellEffect.Refused(ask.id(), RefusalReason.CELL_FULL, 1_000_000_000L));
        }
        Sent sent = new Sent(daemon, choose(daemon, usable));
        long grant = send(sent);
        return List.of(new CellEffect.Granted(ask.id(), grant, sent.worker()));
    }

    @Override
    public List<CellEffect> withdraw(String askId, long nowNanos) {
        return List.of();
    }

    @Override
    public List<CellEffect> progress(long grant, int outputTokens, long nowNanos) {
        return List.of();
    }

    @Override
    public List<CellEffect> release(long grant, Completion completion, long nowNanos) {
        Sent sent = grants.remove(grant);
        if (sent != null) {
            outstanding.merge(sent, -1, Integer::sum);
            open[sent.daemon()]--;
        }
        return List.of();
    }

    @Override
    public long adopt(CellRequest ask, String worker, long nowNanos) {
        return send(new Sent(0, worker));
    }

    @Override
    public List<CellEffect> updateWorkers(List<WorkerInfo> published, long nowNanos) {
        workers = List.copyOf(published);
        return List.of();
    }

    @Override
    public List<CellEffect> recordLoadReport(WorkerReport report, long nowNanos) {
        reports.put(report.worker(), report);
        return List.of();
    }

    @Override
    public List<CellEffect> advance(long nowNanos) {
        return List.of();
    }

    @Override
    public int waitingCount() {
        return 0;
    }

    private long send(Sent sent) {
        lastGrant++;
        grants.put(lastGrant, sent);
        outstanding.merge(sent, 1, Integer::sum);
        open[sent.daemon()]++;
        return lastGrant;
    }

    private String choose(int daemon, List<WorkerInfo> usable) {
        if (choice == Choice.TWO_CHOICES) {
            String one = usable.get(random.nextInt(usable.size())).name();
            String two = usable.get(random.nextInt(usable.size())).name();
            return load(daemon, one) <= load(daemon, two) ? one : two;
        }
        int start = random.nextInt(usable.size());
        String best = usable.get(start).name();
        for (int i = 1; i < usable.size(); i++) {
            String other = usable.get((start + i) % usable.size()).name();
            if (own(daemon, other) < own(daemon, best)) {
                best = other;
            }
        }
        return best;
    }

    private int load(int daemon, String worker) {
        WorkerReport report = reports.get(worker);
        int reported = report == null ? 0 : report.running() + report.waiting();
        return Math.max(reported, own(daemon, worker));
    }

    private int own(int daemon, String worker) {
        return outstanding.getOrDefault(new Sent(daemon, worker), 0);
    }
}
