package org.dotterelcourse.policy.selection;

/**
 * Weight of the delay that a prompt causes to the interactive streams on an engine, which depends on how far the gap between
 * their events would exceed their target there. 1 on an engine of nominal speed.
 *
 * <p>It handles upstreams whose engines differ in speed: on a slow engine each event of an interactive stream that falls
 * into a long prompt is late by a multiple of what it is on a nominal one, on a fast one hardly any.
 *
 * @param longEventMillis time of an event on a nominal engine that reads a long prompt, in milliseconds
 * @param targetMillis shortest gap target of the interactive streams in milliseconds; 0 if unknown
 */
public record GapCost(double longEventMillis, double targetMillis) {
    /** Weight that does not depend on the speed of the engine. */
    public static final GapCost NONE = new GapCost(0, 0);

    /** Bounds of the weight, which keep other parts of the costs relevant. */
    private static final double MIN_WEIGHT = 0.25;

    private static final double MAX_WEIGHT = 4;

    double weight(double slowness) {
        double nominalExcess = longEventMillis - targetMillis;
        if (slowness == 1 || targetMillis <= 0 || nominalExcess <= 0) {
            return 1;
        }
        double weight = (longEventMillis * slowness - targetMillis) / nominalExcess;
        return Math.min(MAX_WEIGHT, Math.max(MIN_WEIGHT, weight));
    }
}
