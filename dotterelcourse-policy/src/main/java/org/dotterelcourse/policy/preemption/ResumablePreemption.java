package org.dotterelcourse.policy.preemption;

import java.util.Collection;
import java.util.Optional;

import org.dotterelcourse.policy.cell.CellRequest;
import org.dotterelcourse.policy.cell.CellSettings;
import org.dotterelcourse.policy.estimate.OutputEstimator;
import org.dotterelcourse.policy.placement.Placement;
import org.dotterelcourse.policy.placement.Running;

/**
 * Stops an idempotent stream of a lower tier that has long to go, to be resumed from its tokens.
 *
 * <p>Answers a rush of an urgent class while every slot holds a long summary. Without it the first of the rush wait for
 * the summaries to end. Never chosen are requests of the same or a higher tier, such as can't run twice or can't be
 * resumed, such as run on their class's minimum share, such as were resumed
 * and have got no further, and such as would soon end: what is left must be more than
 * what reading prompt and tokens again costs.
 */
public final class ResumablePreemption implements Preemption {
    private final CellSettings settings;
    private final OutputEstimator estimator;
    private final Placement placement;

    /**
     * Makes a preemption for a cell.
     *
     * @param settings the cell's figures
     * @param estimator tells how much a request has left
     * @param placement tells whether the urgent request may use a worker
     */
    public ResumablePreemption(CellSettings settings, OutputEstimator estimator, Placement placement) {
        this.settings = settings;
        this.estimator = estimator;
        this.placement = placement;
    }

    @Override
    public Optional<Running> victim(CellRequest urgent, Collection<Running> running) {
        Running best = null;
        double bestGain = 0;
        for (Running candidate : running) {
            if (!mayStop(candidate, urgent)) {
                continue;
            }
            double gain = gain(candidate);
            boolean lower = best == null || tier(candidate) > tier(best);
            boolean same = best != null && tier(candidate) == tier(best);
            if (gain > 0 && (lower || same && gain > bestGain)) {
                best = candidate;
                bestGain = gain;
            }
        }
        return Optional.ofNullable(best);
    }

    private boolean mayStop(Running candidate, CellRequest urgent) {
        CellRequest ask = candidate.ask();
        boolean resumable = ask.idempotent() && ask.terms().tokenIntervalNanos() > 0;
        boolean movedOn = ask.resumedTokens() == 0 || candidate.started();
        return resumable
                && movedOn
                && ask.terms().tier() > urgent.terms().tier()
                && !candidate.owed()
                && placement.isUsable(candidate.worker(), urgent);
    }

    private double gain(Running candidate) {
        CellRequest ask = candidate.ask();
        double left = estimator.remaining(ask.terms(), ask.customer(), candidate.tokens());
        double again = settings.prefillWeight() * (ask.inputTokens() + candidate.tokens());
        return left - again;
    }

    private static int tier(Running running) {
        return running.ask().terms().tier();
    }
}
