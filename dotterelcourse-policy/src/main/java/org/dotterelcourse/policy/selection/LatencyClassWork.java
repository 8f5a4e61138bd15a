package org.dotterelcourse.policy.selection;

import java.util.Arrays;

/**
 * Recently arrived work of each latency class, as exponentially decaying sums.
 *
 * @param millis estimated work in milliseconds of engine time, indexed by the ordinal of the latency class
 */
public record LatencyClassWork(double[] millis) {
    /**
     * Returns the work of a process that has received nothing.
     *
     * @return zero work for each latency class
     */
    public static LatencyClassWork none() {
        return new LatencyClassWork(new double[LatencyClass.values().length]);
    }

    LatencyClassWork plus(LatencyClassWork other) {
        double[] sum = new double[millis.length];
        Arrays.setAll(sum, i -> millis[i] + other.millis[i]);
        return new LatencyClassWork(sum);
    }

    LatencyClassWork decayed(double factor) {
        return new LatencyClassWork(
                Arrays.stream(millis).map(each -> each * factor).toArray());
    }

    LatencyClassWork withAdded(LatencyClass latencyClass, double addedMillis) {
        double[] changed = millis.clone();
        changed[latencyClass.ordinal()] += addedMillis;
        return new LatencyClassWork(changed);
    }

    double totalMillis() {
        return Arrays.stream(millis).sum();
    }
}
