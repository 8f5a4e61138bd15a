package org.dotterelcourse.gateway.fleet;

import java.util.HashMap;
import java.util.Map;

import org.dotterelcourse.gateway.fleet.generated.FleetProtos;
import org.dotterelcourse.policy.performance.TimingSums;

/** Encodes measured timings of workers as columns of a message, and decodes them. */
final class TimingCodec {
    private static final double MICROS_PER_MILLI = 1_000;

    /** Largest value of a column: unsigned 32-bit values are decoded as signed ones. */
    private static final double MAX_VALUE = Integer.MAX_VALUE;

    private TimingCodec() {}

    static FleetProtos.WorkerTimings encode(Map<Integer, TimingSums> timings) {
        FleetProtos.WorkerTimings.Builder columns = FleetProtos.WorkerTimings.newBuilder();
        timings.forEach((worker, sums) -> columns.addWorker(worker)
                .addStepMicros(rounded(MICROS_PER_MILLI * sums.stepMillis()))
                .addStepTokens(rounded(sums.stepTokens()))
                .addMixedStepMicros(rounded(MICROS_PER_MILLI * sums.mixedStepMillis()))
                .addMixedStepTokens(rounded(sums.mixedStepTokens()))
                .addMeasuredMillis(rounded(sums.measuredMillis()))
                .addExpectedMillis(rounded(sums.expectedMillis())));
        return columns.build();
    }

    private static int rounded(double value) {
        return (int) Math.round(Math.max(0, Math.min(MAX_VALUE, value)));
    }

    /**
     * Decodes columns of a message.
     *
     * @throws IllegalArgumentException if the columns differ in length or a value is out of range
     */
    static Map<Integer, TimingSums> decode(FleetProtos.WorkerTimings columns) {
        int count = columns.getWorkerCount();
        if (columns.getStepMicrosCount() != count
                || columns.getStepTokensCount() != count
                || columns.getMixedStepMicrosCount() != count
                || columns.getMixedStepTokensCount() != count
                || columns.getMeasuredMillisCount() != count
                || columns.getExpectedMillisCount() != count) {
            throw new IllegalArgumentException(
                    "timing columns differ in length, expected " + count + " values (one per worker)");
        }
        Map<Integer, TimingSums> timings = new HashMap<>();
        for (int i = 0; i < count; i++) {
            timings.put(
                    columns.getWorker(i),
                    new TimingSums(
                            value(columns.getStepMicros(i)) / MICROS_PER_MILLI,
                            value(columns.getStepTokens(i)),
                            value(columns.getMixedStepMicros(i)) / MICROS_PER_MILLI,
                            value(columns.getMixedStepTokens(i)),
                            value(columns.getMeasuredMillis(i)),
                            value(columns.getExpectedMillis(i))));
        }
        return timings;
    }

    private static double value(int column) {
        if (column < 0) {
            throw new IllegalArgumentException(
                    "a timing is above " + Integer.MAX_VALUE + ": " + Integer.toUnsignedString(column));
        }
        return column;
    }
}
