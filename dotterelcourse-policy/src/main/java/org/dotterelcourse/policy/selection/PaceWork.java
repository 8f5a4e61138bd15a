package org.dotterelcourse.policy.selection;

import java.util.Arrays;

/**
 * Work that lately came of each pace, in milliseconds, as an average that fades by half in each half-life.
 *
 * @param millis by the ordinal of the pace
 */
public record PaceWork(double[] millis) {
    /** No work at all. */
    public static PaceWork none() {
        return new PaceWork(new double[Pace.values().length]);
    }

    PaceWork plus(PaceWork other) {
        double[] sum = new double[millis.length];
        Arrays.setAll(sum, i -> millis[i] + other.millis[i]);
        return new PaceWork(sum);
    }

    PaceWork faded(double factor) {
        return new PaceWork(Arrays.stream(millis).map(each -> each * factor).toArray());
    }

    PaceWork with(Pace pace, double more) {
        double[] changed = millis.clone();
        changed[pace.ordinal()] += more;
        return new PaceWork(changed);
    }

    double total() {
        return Arrays.stream(millis).sum();
    }
}
