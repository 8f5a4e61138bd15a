package org.dotterelcourse.policy.placement;

import org.dotterelcourse.policy.cell.CellSettings;

/**
 * Whether a worker is in use, rests after failures, or is being probed on its way back.
 *
 * <p>Without ejection a crashed worker draws work: what it is given fails at once, so it always looks free. A worker that
 * comes back takes one request, then two, then four, so that a worker which still fails costs one request per rest.
 */
final class WorkerHealth {
    private static final long LONGEST_REST_NANOS = 60_000_000_000L;
    private static final double SLOWEST = 16;

    private final CellSettings settings;
    private final SpeedWindow speed = new SpeedWindow();
    private double slowFactor = 1;
    private int failures;
    private long restNanos;
    private long restsUntilNanos;
    private boolean isEjected;
    private int allowance;

    WorkerHealth(CellSettings settings) {
        this.settings = settings;
        this.restNanos = settings.probeAfterNanos();
    }

    void sample(double perTokenNanos, long nowNanos) {
        speed.add(perTokenNanos, nowNanos);
    }

    double median(long nowNanos) {
        return speed.median(nowNanos);
    }

    /** Compares the worker with the cell; medians are 0 where unknown. */
    void compare(double median, double cellMedian) {
        if (median <= 0 || cellMedian <= 0) {
            return;
        }
        double ratio = Math.min(SLOWEST, median / cellMedian);
        slowFactor = ratio < settings.toleratedSlowFactor() ? 1 : ratio;
    }

    double slowFactor() {
        return slowFactor;
    }

    void failed() {
        failures++;
    }

    /** A request ended well; a probe that isn't slow widens the way back. */
    void succeeded(int concurrency) {
        failures = 0;
        if (!isEjected || isTooSlow()) {
            return;
        }
        allowance *= 2;
        if (allowance >= concurrency) {
            isEjected = false;
            restNanos = settings.probeAfterNanos();
        }
    }

    boolean shouldRest() {
        return failures >= settings.ejectionFailures() || isTooSlow();
    }

    /** Takes the worker out of use, each time for twice as long. */
    void eject(long nowNanos) {
        restsUntilNanos = nowNanos + restNanos;
        restNanos = Math.min(LONGEST_REST_NANOS, 2 * restNanos);
        isEjected = true;
        allowance = 1;
        failures = 0;
        slowFactor = 1;
        speed.clear();
    }

    boolean isEjected() {
        return isEjected;
    }

    boolean isResting(long nowNanos) {
        return isEjected && nowNanos < restsUntilNanos;
    }

    /** How many requests a worker that is being probed may have. */
    int allowance() {
        return allowance;
    }

    /** A probe that failed sends the worker back to rest, whatever the count of failures. */
    boolean probeFailed() {
        return isEjected && (failures > 0 || isTooSlow());
    }

    private boolean isTooSlow() {
        return slowFactor >= settings.ejectionFactor();
    }
}
