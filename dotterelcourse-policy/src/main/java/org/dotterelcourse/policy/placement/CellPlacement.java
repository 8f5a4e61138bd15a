package org.dotterelcourse.policy.placement;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.dotterelcourse.policy.cell.CellRequest;
import org.dotterelcourse.policy.cell.CellSettings;
import org.dotterelcourse.policy.cell.Completion;
import org.dotterelcourse.policy.cell.Mechanism;
import org.dotterelcourse.policy.cell.WorkerInfo;
import org.dotterelcourse.policy.cell.WorkerReport;

/**
 * Places by expected finish, counted from the cell's own grants, which don't lag; reports only take room away that others
 * have used.
 *
 * <p>Answers the load patterns of a slow worker, a hot prefix, a crash and late reports. Placing by reports alone sends
 * everybody to the worker that was free five seconds ago. Prefix affinity is rendezvous among the workers whose expected
 * finish is within {@link CellSettings#affinitySlack()} of the best, so that a hot prefix spreads over as many workers as
 * its load needs and no more. A slow worker counts for as much room as its speed is worth; one that crawls or fails is
 * ejected, at most a third of the cell at once, since a fault that all workers seem to have is more likely ours.
 */
public final class CellPlacement implements Placement {
    private static final long COMPARE_EVERY_NANOS = 250_000_000L;
    private static final int TOKENS_PER_SAMPLE = 8;

    /** A worker that has work is suspect after this silence if the others' is a quarter of it. */
    private static final long SUSPECT_SILENCE_NANOS = 3_000_000_000L;

    private static final int SILENCE_FACTOR = 4;

    private final CellSettings settings;
    private final Map<String, Worker> workers = new LinkedHashMap<>();
    private boolean isPublished;
    private long comparedNanos = Long.MIN_VALUE / 2;
    private int slots;

    /**
     * Makes a placement without workers.
     *
     * @param settings the figures and the mechanisms in use
     */
    public CellPlacement(CellSettings settings) {
        this.settings = settings;
    }

    @Override
    public boolean hasRoom(long nowNanos) {
        for (Worker worker : workers.values()) {
            if (worker.hasRoom(nowNanos)) {
                return true;
            }
        }
        return false;
    }

    @Override
    public boolean canServe(CellRequest ask) {
        if (!isPublished) {
            return true;
        }
        for (Worker worker : workers.values()) {
            if (!worker.isLeaving() && !ask.excludedWorkers().contains(worker.name())) {
                return true;
            }
        }
        return false;
    }

    @Override
    public boolean isUsable(String worker, CellRequest ask) {
        Worker found = workers.get(worker);
        return found != null && found.isUsable(ask);
    }

    @Override
    public Optional<String> place(Candidate candidate, long nowNanos) {
        List<Worker> free = new ArrayList<>(workers.size());
        Worker best = null;
        double bestFinish = Double.POSITIVE_INFINITY;
        for (Worker worker : workers.values()) {
            if (!worker.hasRoomFor(candidate, nowNanos)) {
                continue;
            }
            if (worker.health().isEjected()) {
                return Optional.of(worker.name());
            }
            free.add(worker);
            double finish = worker.expectedFinish(candidate, nowNanos);
            if (finish < bestFinish) {
                best = worker;
                bestFinish = finish;
            }
        }
        if (best == null) {
            return Optional.empty();
        }
        long prefix = candidate.ask().prefix();
        if (prefix == 0 || !settings.isEnabled(Mechanism.PREFIX_AFFINITY)) {
            return Optional.of(best.name());
        }
        return Optional.of(home(candidate, free, bestFinish, nowNanos).name());
    }

    @Override
    public void granted(Running running, long nowNanos) {
        workers.computeIfAbsent(running.worker(), name -> unlisted(name, nowNanos))
                .granted(running, nowNanos);
    }

    @Override
    public void progress(Running running, int tokens, boolean becomesLong, long nowNanos) {
        Worker worker = workers.get(running.worker());
        if (worker != null) {
            worker.progress(running, tokens, becomesLong, TOKENS_PER_SAMPLE, nowNanos);
        }
    }

    @Override
    public void released(Running running, Completion completion, long nowNanos) {
        Worker worker = workers.get(running.worker());
        if (worker == null) {
            return;
        }
        learn(worker, running, completion, nowNanos);
        worker.released(running, nowNanos);
        eject(worker, nowNanos);
        countSlots(nowNanos);
    }

    @Override
    public void workers(List<WorkerInfo> published, long nowNanos) {
        isPublished = true;
        Map<String, WorkerInfo> byName = new LinkedHashMap<>();
        for (WorkerInfo info : published) {
            byName.put(info.name(), info);
        }
        workers.values().removeIf(worker -> !byName.containsKey(worker.name()) && worker.isIdle());
        for (Worker worker : workers.values()) {
            if (!byName.containsKey(worker.name())) {
                worker.goneFromList();
            }
        }
        for (WorkerInfo info : byName.values()) {
            Worker known = workers.get(info.name());
            if (known == null) {
                workers.put(info.name(), new Worker(info, settings, nowNanos));
            } else {
                known.publish(info);
            }
        }
        countSlots(nowNanos);
    }

    @Override
    public void report(WorkerReport report, long nowNanos) {
        Worker worker = workers.get(report.worker());
        if (worker != null) {
            worker.report(report);
        }
    }

    @Override
    public void advance(long nowNanos) {
        for (Worker worker : workers.values()) {
            worker.note(nowNanos);
        }
        if (nowNanos - comparedNanos < COMPARE_EVERY_NANOS) {
            return;
        }
        comparedNanos = nowNanos;
        compareSpeeds(nowNanos);
        long usualSilence = usualSilence(nowNanos);
        for (Worker worker : workers.values()) {
            if (isSuspect(worker, usualSilence, nowNanos)) {
                rest(worker, nowNanos);
            }
            eject(worker, nowNanos);
        }
        countSlots(nowNanos);
    }

    @Override
    public int slots() {
        return slots;
    }

    @Override
    public List<String> ejected() {
        List<String> names = new ArrayList<>();
        for (Worker worker : workers.values()) {
            if (worker.health().isEjected()) {
                names.add(worker.name());
            }
        }
        return names;
    }

    /**
     * A worker that only an adopted grant tells of: it has left the list, or the list hasn't come yet. It is counted from
     * now on, else its room would be given out twice when the list shows it.
     */
    private Worker unlisted(String name, long nowNanos) {
        Worker worker = new Worker(new WorkerInfo(name, "", 0, false), settings, nowNanos);
        worker.goneFromList();
        return worker;
    }

    private Worker home(Candidate candidate, List<Worker> free, double bestFinish, long nowNanos) {
        double most = bestFinish * (1 + settings.affinitySlack());
        Worker home = null;
        long highest = 0;
        for (Worker worker : free) {
            long weight = worker.affinity(candidate.ask().prefix());
            boolean higher = home == null || Long.compareUnsigned(weight, highest) > 0;
            if (higher && worker.expectedFinish(candidate, nowNanos) <= most) {
                home = worker;
                highest = weight;
            }
        }
        return home;
    }

    private void learn(Worker worker, Running running, Completion completion, long nowNanos) {
        switch (completion.end()) {
            case ANSWERED -> {
                worker.heard(nowNanos);
                sampleWhole(worker, running, completion, nowNanos);
                worker.health().succeeded(worker.concurrency());
            }
            case FAILED, UNREACHABLE -> worker.health().failed();
            case REFUSED -> worker.full(nowNanos);
            case LEAVING -> worker.leave();
            default -> {
                // A cancelled request says nothing about the worker.
            }
        }
    }

    /** A plain service's answer, or one whose progress nobody told, is one sample as a whole. */
    private static void sampleWhole(Worker worker, Running running, Completion completion, long nowNanos) {
        if (running.started() || completion.durationNanos() <= 0) {
            return;
        }
        boolean hasTokens = completion.outputTokens() > 1 && completion.firstTokenNanos() >= 0;
        double perToken = hasTokens
                ? (double) (completion.durationNanos() - completion.firstTokenNanos()) / (completion.outputTokens() - 1)
                : completion.durationNanos();
        worker.health().sample(worker.atEmptyBatch(perToken), nowNanos);
    }

    private void compareSpeeds(long nowNanos) {
        double[] known = new double[workers.size()];
        int count = 0;
        for (Worker worker : workers.values()) {
            double median = worker.health().median(nowNanos);
            if (median > 0) {
                known[count++] = median;
            }
        }
        if (count < 2) {
            return;
        }
        Arrays.sort(known, 0, count);
        double cellMedian = known[(count - 1) / 2];
        for (Worker worker : workers.values()) {
            worker.health().compare(worker.health().median(nowNanos), cellMedian);
        }
    }

    private long usualSilence(long nowNanos) {
        long[] silences = new long[workers.size()];
        int count = 0;
        for (Worker worker : workers.values()) {
            if (!worker.isIdle()) {
                silences[count++] = worker.silentNanos(nowNanos);
            }
        }
        if (count < 2) {
            return Long.MAX_VALUE / SILENCE_FACTOR;
        }
        Arrays.sort(silences, 0, count);
        return silences[(count - 1) / 2];
    }

    private static boolean isSuspect(Worker worker, long usualSilence, long nowNanos) {
        long silence = worker.silentNanos(nowNanos);
        return silence > SUSPECT_SILENCE_NANOS
                && silence > SILENCE_FACTOR * usualSilence
                && !worker.health().isResting(nowNanos);
    }

    private void eject(Worker worker, long nowNanos) {
        WorkerHealth health = worker.health();
        boolean again = health.probeFailed() && !health.isResting(nowNanos);
        boolean first = !health.isEjected() && health.shouldRest();
        if (again || first) {
            rest(worker, nowNanos);
        }
    }

    private void rest(Worker worker, long nowNanos) {
        if (!settings.isEnabled(Mechanism.EJECTION)) {
            return;
        }
        int most = (int) (workers.size() * settings.maxEjectedFraction());
        if (worker.health().isEjected() || ejected().size() < most) {
            worker.health().eject(nowNanos);
        }
    }

    private void countSlots(long nowNanos) {
        slots = 0;
        for (Worker worker : workers.values()) {
            slots += worker.slots(nowNanos);
        }
    }
}
