package org.dotterelcourse.policy.selection;

import java.util.Arrays;

/**
 * Work that lately came of each latencyClass, in milliseconds, as an average that fades by half in each half-life.
 *
 * @param millis by the ordinal of the pace
 */
public record LatencyClassWork(double[] millis) {
    /** No work at all. */
    public static LatencyClassWork none() {
        return new LatencyClassWork(new double[LatencyClass.values().length]);
    }

    LatencyClassWork plus(LatencyClassWork other) {
        double[] sum = new double[millis.length];
        Arrays.setAll(sum, i -> millis[i] + other.millis[i]);
        return new LatencyClassWork(sum);
    }

    LatencyClassWork faded(double factor) {
        return new LatencyClassWork(
                Arrays.stream(millis).map(each -> each * factor).toArray());
    }

    LatencyClassWork with(LatencyClass latencyClass, double more) {
        double[] changed = millis.clone();
        changed[latencyClass.ordinal()] += more;
        return new LatencyClassWork(changed);
    }

    double total() {
        return Arrays.stream(millis).sum();
    }
}
