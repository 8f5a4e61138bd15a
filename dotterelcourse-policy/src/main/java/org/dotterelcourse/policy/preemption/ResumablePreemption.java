package org.dotterelcourse.policy.preemption;

import java.util.Collection;
import java.util.Optional;

import org.dotterelcourse.policy.cell.CellRequest;
import org.dotterelcourse.policy.cell.CellSettings;
import org.dotterelcourse.policy.estimate.OutputEstimator;
import org.dotterelcourse.policy.placement.Placement;
import org.dotterelcourse.policy.placement.RunningRequest;

/**
 * Preempts an idempotent stream of a lower tier that has much work left, so that it can be resumed after the tokens
 * generated so far.
 *
 * <p>Answers a burst of an urgent class while long jobs occupy all slots. Without it, the first requests of the burst
 * wait until long jobs end. A request is not preempted if
 *
 * <ul>
 *   <li>its tier is the same or higher,
 *   <li>it is not idempotent or can't be resumed,
 *   <li>it was granted because of its class's minimum share,
 *   <li>it was resumed and has made no progress since, or
 *   <li>its remaining work is not greater than the prefill cost of its prompt and tokens, which a resumption repeats.
 * </ul>
 */
public final class ResumablePreemption implements Preemption {
    private final CellSettings settings;
    private final OutputEstimator estimator;
    private final Placement placement;

    /**
     * Creates the preemption policy of a cell.
     *
     * @param settings parameters of the cell
     * @param estimator estimates the remaining output of running requests
     * @param placement determines whether the urgent request may run on a worker
     */
    public ResumablePreemption(CellSettings settings, OutputEstimator estimator, Placement placement) {
        this.settings = settings;
        this.estimator = estimator;
        this.placement = placement;
    }

    @Override
    public Optional<RunningRequest> selectVictim(CellRequest urgent, Collection<RunningRequest> running) {
        RunningRequest best = null;
        double bestGain = 0;
        for (RunningRequest candidate : running) {
            if (!isPreemptible(candidate, urgent)) {
                continue;
            }
            double gain = gain(candidate);
            boolean isLowerTier = best == null || tier(candidate) > tier(best);
            boolean isSameTier = best != null && tier(candidate) == tier(best);
            if (gain > 0 && (isLowerTier || isSameTier && gain > bestGain)) {
                best = candidate;
                bestGain = gain;
            }
        }
        return Optional.ofNullable(best);
    }

    private boolean isPreemptible(RunningRequest candidate, CellRequest urgent) {
        CellRequest request = candidate.cellRequest();
        boolean resumable = request.idempotent() && request.terms().tokenIntervalNanos() > 0;
        boolean hasProgressed = request.resumedTokens() == 0 || candidate.hasOutput();
        return resumable
                && hasProgressed
                && request.terms().tier() > urgent.terms().tier()
                && !candidate.isMinimumShareGrant()
                && placement.isUsable(candidate.worker(), urgent);
    }

    private double gain(RunningRequest candidate) {
        CellRequest request = candidate.cellRequest();
        double remainingWork = estimator.remaining(request.terms(), request.customer(), candidate.outputTokens());
        double prefillWork = settings.prefillWeight() * (request.inputTokens() + candidate.outputTokens());
        return remainingWork - prefillWork;
    }

    private static int tier(RunningRequest running) {
        return running.cellRequest().terms().tier();
    }
}
