package org.dotterelcourse.coordination.measure;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.function.ToDoubleFunction;

/**
 * Measures the cost of membership and the configuration relay per daemon, and their latency, by fleet size. Fits a line
 * to the costs and extrapolates it to the target size. Sizes above {@value #LARGEST_FITTED_SIZE} are printed but not
 * used for the fit, so that they can validate it.
 */
public final class MeasureCoordination {

    private static final int[] DEFAULT_SIZES = {4, 8, 16, 32, 64};
    private static final int LARGEST_FITTED_SIZE = 64;
    private static final int WARM_UP_SIZE = 16;
    private static final int TARGET_SIZE = 340;
    private static final double PERCENT = 100;
    private static final double KILO = 1_000;
    private static final double MEGA = 1e6;
    private static final double CORE_FRACTION_LIMIT = 0.012;
    private static final double BYTES_PER_SECOND_LIMIT = 13_000;
    private static final double HEAP_BYTES_LIMIT = 128e6;

    private MeasureCoordination() {}

    /**
     * Measures all fleet sizes and prints the results as Markdown.
     *
     * @param args fleet sizes in nodes; 4, 8, 16, 32 and 64 if there are none
     * @throws InterruptedException if the main thread is interrupted
     */
    public static void main(String[] args) throws InterruptedException {
        List<Integer> sizes = new ArrayList<>();
        for (String arg : args) {
            sizes.add(Integer.parseInt(arg));
        }
        if (sizes.isEmpty()) {
            for (int size : DEFAULT_SIZES) {
                sizes.add(size);
            }
        }
        MeasuredFleet.measure(WARM_UP_SIZE);
        printHeader();
        List<MeasuredFleet.Result> fitted = new ArrayList<>();
        for (int size : sizes) {
            MeasuredFleet.Result result = MeasuredFleet.measure(size);
            printResult(result);
            if (size <= LARGEST_FITTED_SIZE) {
                fitted.add(result);
            }
        }
        if (fitted.size() > 2) {
            printFits(fitted);
        }
    }

    private static void printHeader() {
        printLine(
                "| nodes | all joined s | sent B/s | received B/s | messages/s | core %% | process core %% | heap KB | first suspects s |"
                        + " all suspect s | all declare dead s | paused suspected | running suspected | running declared dead | propagation ms |");
        printLine(
                "| ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: |");
    }

    private static void printResult(MeasuredFleet.Result result) {
        printLine(
                "| %d | %.1f | %.0f | %.0f | %.1f | %.3f | %.3f | %.0f | %.2f | %.2f | %.2f | %d | %d | %d | %.0f |",
                result.size(),
                result.joinSeconds(),
                result.sentBytesPerSecond(),
                result.receivedBytesPerSecond(),
                result.messagesPerSecond(),
                result.threadCores() * PERCENT,
                result.processCores() * PERCENT,
                result.heapBytes() / KILO,
                result.firstSuspectSeconds(),
                result.lastSuspectSeconds(),
                result.lastDeadSeconds(),
                result.suspicionsOfPaused(),
                result.suspicionsOfRunning(),
                result.falseDeclarations(),
                result.propagationMillis());
    }

    private static void printFits(List<MeasuredFleet.Result> results) {
        printLine("");
        printLine(
                "| per node | intercept | slope per node | slope error | at %d | prediction error | limit |",
                TARGET_SIZE);
        printLine("| --- | ---: | ---: | ---: | ---: | ---: | ---: |");
        printFit(
                results,
                "sent and received KB/s",
                result -> (result.sentBytesPerSecond() + result.receivedBytesPerSecond()) / KILO,
                BYTES_PER_SECOND_LIMIT / KILO);
        printFit(results, "core %", result -> result.threadCores() * PERCENT, CORE_FRACTION_LIMIT * PERCENT);
        printFit(results, "process core %", result -> result.processCores() * PERCENT, CORE_FRACTION_LIMIT * PERCENT);
        printFit(results, "heap MB", result -> result.heapBytes() / MEGA, HEAP_BYTES_LIMIT / MEGA);
    }

    private static void printFit(
            List<MeasuredFleet.Result> results,
            String name,
            ToDoubleFunction<MeasuredFleet.Result> value,
            double limit) {
        List<LinearFit.Point> points = new ArrayList<>();
        for (MeasuredFleet.Result result : results) {
            points.add(new LinearFit.Point(result.size(), value.applyAsDouble(result)));
        }
        LinearFit fit = LinearFit.leastSquares(points);
        printLine(
                "| %s | %.4f | %.6f | %.6f | %.3f | %.3f | %.1f |",
                name,
                fit.intercept(),
                fit.slope(),
                fit.slopeError(),
                fit.valueAt(TARGET_SIZE),
                fit.predictionErrorAt(TARGET_SIZE),
                limit);
    }

    private static void printLine(String format, Object... values) {
        System.out.println(String.format(Locale.ROOT, format, values));
    }
}
