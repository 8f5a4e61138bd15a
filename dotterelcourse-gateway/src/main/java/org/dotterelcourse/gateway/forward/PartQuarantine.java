package org.dotterelcourse.gateway.forward;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import org.dotterelcourse.gateway.GatewayState;
import org.dotterelcourse.gateway.workers.WorkerEntry;
import org.dotterelcourse.policy.quarantine.CrashCause;
import org.dotterelcourse.policy.quarantine.CrashNotice;
import org.dotterelcourse.policy.quarantine.CrashNotice.Ending;
import org.dotterelcourse.policy.quarantine.Fingerprint;
import org.dotterelcourse.policy.quarantine.RequestQuarantine;
import org.dotterelcourse.policy.quarantine.Verdict;

/**
 * Keeps requests from workers of the software versions that crash under a part of their prompts, and reports crashes and
 * finished runs by the parts.
 */
final class PartQuarantine {
    /**
     * Events up to which an attempt was at the beginning of its answer, where a part crashes its worker. The router may have
     * received some events although the worker crashed with its first ones.
     */
    private static final int MAX_EARLY_EVENTS = 2;

    /** Time in which a trial shows whether it crashes its worker; then the next request is a trial. */
    private static final long TRIAL_MILLIS = 3_000;

    /** Time between trials of a part that may well crash its worker: a few crashes a minute are bearable. */
    private static final long RARE_TRIAL_MILLIS = 30_000;

    /** About the time after which most trials have crashed their workers or completed short streams. */
    private static final long RETRY_AFTER_TRIAL_MILLIS = 1_000;

    private static final long NANOS_PER_MILLI = 1_000_000L;

    private final GatewayState state;
    private final RequestQuarantine quarantine;
    private final Counter held;
    private final Counter trials;
    private final Map<CrashCause, RunningTrial> runningTrials = new HashMap<>();

    /** The request that tries a part, when it began, and the time until the next trial may begin. */
    private record RunningTrial(String requestId, long beganNanos, long intervalMillis) {
        boolean isOver(long nowNanos) {
            return nowNanos - beganNanos >= intervalMillis * NANOS_PER_MILLI;
        }
    }

    PartQuarantine(GatewayState state, MetricRegistry metrics) {
        this.state = state;
        this.quarantine = state.quarantine();
        this.held = metrics.counter("gateway.quarantine.held-by-part");
        this.trials = metrics.counter("gateway.quarantine.trials");
    }

    /**
     * Decides to which software versions a call may be sent, and excludes the others.
     *
     * @return whether no worker may get the call
     */
    Verdict verdict(Call call, long nowNanos) {
        call.versions().exclude(Set.of());
        if (quarantine.isEmpty() || call.sharedParts().isEmpty()) {
            return new Verdict.Allowed();
        }
        Set<String> serving = state.workers()
                .versionHistory()
                .servingVersions(call.attributes().upstream().name());
        Set<String> denied = new HashSet<>();
        Map<String, Long> trialMillis = new HashMap<>();
        long retryAfterMillis = Long.MAX_VALUE;
        for (String version : serving) {
            Verdict verdict = quarantine.verdict(causes(call, version), nowNanos);
            if (verdict instanceof Verdict.Quarantined quarantined) {
                denied.add(version);
                retryAfterMillis = Math.min(retryAfterMillis, quarantined.retryAfterMillis());
            } else if (verdict instanceof Verdict.Trial trial) {
                trialMillis.put(version, trial.isRare() ? RARE_TRIAL_MILLIS : TRIAL_MILLIS);
            }
        }
        boolean isAnyAllowed = serving.stream()
                .anyMatch(version -> call.versions().accepts(version)
                        && !denied.contains(version)
                        && !trialMillis.containsKey(version));
        for (Map.Entry<String, Long> trial : trialMillis.entrySet()) {
            String version = trial.getKey();
            if (isAnyAllowed
                    || !call.versions().accepts(version)
                    || !beginTrial(call, version, trial.getValue(), nowNanos)) {
                denied.add(version);
                retryAfterMillis = Math.min(retryAfterMillis, RETRY_AFTER_TRIAL_MILLIS);
            }
        }
        call.versions().exclude(denied);
        boolean isHeld = !denied.isEmpty() && serving.stream().noneMatch(call.versions()::accepts);
        if (isHeld) {
            held.inc();
        }
        return isHeld ? new Verdict.Quarantined(retryAfterMillis) : new Verdict.Allowed();
    }

    private static List<CrashCause> causes(Call call, String version) {
        return call.sharedParts().stream()
                .map(part -> CrashCause.ofPart(part, version))
                .toList();
    }

    /**
     * Begins a trial of all parts of a call that need one. One process of the fleet makes the trials of a part at a version,
     * so that a part that crashes workers crashes one more and not one for each process.
     */
    private boolean beginTrial(Call call, String version, long intervalMillis, long nowNanos) {
        List<CrashCause> causes = causes(call, version).stream()
                .filter(cause -> !(quarantine.verdict(cause, nowNanos) instanceof Verdict.Allowed))
                .toList();
        for (CrashCause cause : causes) {
            RunningTrial running = runningTrials.get(cause);
            boolean isOther = running != null
                    && !running.requestId().equals(call.attributes().id())
                    && !running.isOver(nowNanos);
            String key = cause.fingerprint() + " " + cause.version();
            if (isOther || !state.workers().isFirstHolder(key, nowNanos)) {
                return false;
            }
        }
        runningTrials.values().removeIf(running -> running.isOver(nowNanos));
        for (CrashCause cause : causes) {
            if (runningTrials.putIfAbsent(
                            cause, new RunningTrial(call.attributes().id(), nowNanos, intervalMillis))
                    == null) {
                trials.inc();
            }
        }
        return true;
    }

    /** Reports that a worker has crashed, if the attempt was at the beginning of its answer. */
    void recordCrash(Call call, WorkerEntry worker, double elapsedMillis, int eventCount, long nowNanos) {
        if (eventCount > MAX_EARLY_EVENTS) {
            return;
        }
        for (Fingerprint part : call.sharedParts()) {
            state.applyCrashNotice(
                    new CrashNotice(
                            CrashCause.ofPart(part, worker.version()),
                            Ending.CRASHED_BEFORE_OUTPUT,
                            worker.incarnation(),
                            Math.round(elapsedMillis),
                            0),
                    nowNanos);
        }
    }

    /** Reports that a worker of the version that had the call last has finished an answer. */
    void recordFinished(Call call, long nowNanos) {
        for (Fingerprint part : call.sharedParts()) {
            state.applyCrashNotice(
                    new CrashNotice(CrashCause.ofPart(part, call.lastWorkerVersion()), Ending.FINISHED, 0, 0, 0),
                    nowNanos);
        }
    }
}
