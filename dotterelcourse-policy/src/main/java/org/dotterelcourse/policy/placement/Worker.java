package org.dotterelcourse.policy.placement;

import java.util.LinkedHashMap;
import java.util.Map;

import com.dynatrace.hash4j.hashing.Hashing;
import org.dotterelcourse.policy.cell.CellRequest;
import org.dotterelcourse.policy.cell.CellSettings;
import org.dotterelcourse.policy.cell.ClassTerms;
import org.dotterelcourse.policy.cell.Mechanism;
import org.dotterelcourse.policy.cell.WorkerInfo;
import org.dotterelcourse.policy.cell.WorkerReport;

/** What is known of one worker: its grants, which are the truth, and its reports, which lag. */
final class Worker {
    /** After a refusal the worker is taken as full for so long: about the time of a short answer. */
    private static final long FULL_AFTER_REFUSAL_NANOS = 500_000_000L;

    private final CellSettings settings;
    private final WorkerHealth health;
    private final LoadHistory history = new LoadHistory();
    private final Map<Long, Running> grants = new LinkedHashMap<>();
    private final long nameHash;
    private WorkerInfo info;
    private boolean saysLeaving;
    private boolean isGone;
    private int longRunning;
    private double pendingPrefill;
    private int foreign;
    private long reportNanos = Long.MIN_VALUE;
    private long fullUntilNanos = Long.MIN_VALUE;
    private long heardNanos;

    Worker(WorkerInfo info, CellSettings settings, long nowNanos) {
        this.info = info;
        this.settings = settings;
        this.health = new WorkerHealth(settings);
        this.nameHash = Hashing.komihash5_0().hashCharsToLong(info.name());
        this.heardNanos = nowNanos;
    }

    String name() {
        return info.name();
    }

    WorkerHealth health() {
        return health;
    }

    /**
     * Takes over what the list says. A worker that said that it leaves is believed until the list has shown it leaving, or
     * gone, and then back: the list lags, and would give a leaving worker new work.
     */
    void publish(WorkerInfo published) {
        if ((info.leaving() || isGone) && !published.leaving()) {
            saysLeaving = false;
        }
        isGone = false;
        info = published;
    }

    /** The list shows the worker no more; it is kept until its last grant ends, so that its room isn't counted twice. */
    void goneFromList() {
        isGone = true;
        saysLeaving = true;
    }

    void leave() {
        saysLeaving = true;
    }

    boolean isLeaving() {
        return info.leaving() || saysLeaving;
    }

    boolean isIdle() {
        return grants.isEmpty();
    }

    /** How many requests the worker may have: fewer when it is slow, and when it is being probed. */
    int slots(long nowNanos) {
        if (isLeaving() || health.isResting(nowNanos)) {
            return 0;
        }
        if (health.isEjected()) {
            return Math.min(health.allowance(), info.concurrency());
        }
        if (!settings.isEnabled(Mechanism.STRAGGLER_WEIGHT)) {
            return info.concurrency();
        }
        return Math.max(1, (int) Math.round(info.concurrency() / health.slowFactor()));
    }

    boolean hasRoom(long nowNanos) {
        return nowNanos >= fullUntilNanos && grants.size() + foreign(nowNanos) < slots(nowNanos);
    }

    boolean hasRoomFor(Candidate candidate, long nowNanos) {
        if (!hasRoom(nowNanos) || isExcludedFor(candidate.ask())) {
            return false;
        }
        if (health.isEjected() && !mayProbe(candidate.ask())) {
            return false;
        }
        if (!candidate.isLong() || !settings.isEnabled(Mechanism.LONG_JOB_CAP)) {
            return true;
        }
        return longRunning < Math.max(1, (int) (settings.longJobShare() * info.concurrency()));
    }

    boolean isUsable(CellRequest ask) {
        return !isLeaving() && !health.isEjected() && !isExcludedFor(ask);
    }

    /** A rough expected time to finish, in steps of an empty worker. */
    double expectedFinish(Candidate candidate, long nowNanos) {
        double load = (double) (grants.size() + foreign(nowNanos)) / Math.max(1, info.concurrency());
        double decode = candidate.expectedOutput() * (1 + settings.batchSlowdown() * load);
        double slow = settings.isEnabled(Mechanism.STRAGGLER_WEIGHT) ? health.slowFactor() : 1;
        return slow * (pendingPrefill + candidate.prefillWork() + decode);
    }

    /** The rendezvous weight of the worker for a prefix. */
    long affinity(long prefix) {
        return Hashing.komihash5_0().hashLongLongToLong(prefix, nameHash);
    }

    void granted(Running running, long nowNanos) {
        history.note(grants.size(), nowNanos);
        if (grants.isEmpty()) {
            heardNanos = nowNanos;
        }
        grants.put(running.grant(), running);
        history.note(grants.size(), nowNanos);
        pendingPrefill += running.candidate().prefillWork();
        longRunning += running.isLong() ? 1 : 0;
    }

    void progress(Running running, int tokens, boolean becomesLong, int tokensPerSample, long nowNanos) {
        heardNanos = nowNanos;
        if (!running.started() && tokens > running.ask().resumedTokens()) {
            endPrefill(running);
        }
        if (becomesLong && !running.isLong()) {
            running.becomeLong();
            longRunning++;
        }
        long perToken = running.progress(tokens, tokensPerSample, nowNanos);
        if (perToken > 0) {
            health.sample(atEmptyBatch(perToken), nowNanos);
        }
    }

    void released(Running running, long nowNanos) {
        if (grants.remove(running.grant()) == null) {
            return;
        }
        history.note(grants.size(), nowNanos);
        longRunning -= running.isLong() ? 1 : 0;
        if (!running.started()) {
            endPrefill(running);
        }
    }

    void heard(long nowNanos) {
        heardNanos = nowNanos;
    }

    /** How long nothing has come from a worker that has work. */
    long silentNanos(long nowNanos) {
        return grants.isEmpty() ? 0 : nowNanos - heardNanos;
    }

    void full(long nowNanos) {
        fullUntilNanos = nowNanos + FULL_AFTER_REFUSAL_NANOS;
    }

    void note(long nowNanos) {
        history.note(grants.size(), nowNanos);
    }

    /** Learns from a report how many requests the worker has that this cell didn't grant. */
    void report(WorkerReport report) {
        if (report.measuredNanos() <= reportNanos) {
            return;
        }
        reportNanos = report.measuredNanos();
        int own = history.mostAround(report.measuredNanos());
        foreign = own < 0 ? 0 : Math.max(0, report.running() + report.waiting() - own);
    }

    /** A time per token as it would be on an empty worker, so that a busy worker isn't taken for a slow one. */
    double atEmptyBatch(double perTokenNanos) {
        double load = (double) grants.size() / Math.max(1, info.concurrency());
        return perTokenNanos / (1 + settings.batchSlowdown() * load);
    }

    int concurrency() {
        return info.concurrency();
    }

    private int foreign(long nowNanos) {
        boolean fresh = foreign > 0 && nowNanos - reportNanos < settings.maxReportAgeNanos();
        return fresh && settings.isEnabled(Mechanism.LOAD_REPORTS) ? foreign : 0;
    }

    private boolean isExcludedFor(CellRequest ask) {
        return ask.excludedWorkers().contains(info.name());
    }

    private static boolean mayProbe(CellRequest ask) {
        return ask.idempotent() && ask.terms().tier() > ClassTerms.HIGHEST_TIER;
    }

    private void endPrefill(Running running) {
        pendingPrefill = Math.max(0, pendingPrefill - running.candidate().prefillWork());
    }
}
