package org.dotterelcourse.coordination.measure;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.function.ToDoubleFunction;

/**
 * Measures what membership and the configuration relay cost a daemon, and how fast they are, as the fleet grows.
 * Arguments are fleet sizes; sizes above {@value #LARGEST_FITTED} are printed but not used for the fit, so that they
 * check it.
 */
public final class MeasureCoordination {

    private static final int[] SIZES = {4, 8, 16, 32, 64};
    private static final int LARGEST_FITTED = 64;
    private static final int WARM_UP = 16;
    private static final int TARGET = 340;
    private static final double PERCENT = 100;
    private static final double KILO = 1_000;
    private static final double MEGA = 1e6;
    private static final double CORE_LIMIT = 0.012;
    private static final double BYTES_LIMIT = 13_000;
    private static final double HEAP_LIMIT = 128e6;

    private MeasureCoordination() {}

    /**
     * Runs all sizes and prints markdown.
     *
     * @param args fleet sizes; none for the usual ones
     * @throws InterruptedException when the thread is interrupted
     */
    public static void main(String[] args) throws InterruptedException {
        List<Integer> sizes = new ArrayList<>();
        for (String arg : args) {
            sizes.add(Integer.parseInt(arg));
        }
        if (sizes.isEmpty()) {
            for (int size : SIZES) {
                sizes.add(size);
            }
        }
        MeasuredFleet.measure(WARM_UP);
        header();
        List<MeasuredFleet.Result> fitted = new ArrayList<>();
        for (int size : sizes) {
            MeasuredFleet.Result result = MeasuredFleet.measure(size);
            print(result);
            if (size <= LARGEST_FITTED) {
                fitted.add(result);
            }
        }
        if (fitted.size() > 2) {
            fits(fitted);
        }
    }

    private static void header() {
        say(
                "| nodes | all joined s | sent B/s | received B/s | messages/s | core %% | process core %% | heap KB | first suspects s |"
                        + " all suspect s | all hold dead s | paused suspected | running suspected | running held dead | change everywhere ms |");
        say(
                "| ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: |");
    }

    private static void print(MeasuredFleet.Result result) {
        say(
                "| %d | %.1f | %.0f | %.0f | %.1f | %.3f | %.3f | %.0f | %.2f | %.2f | %.2f | %d | %d | %d | %.0f |",
                result.size(),
                result.joinSeconds(),
                result.sentBytes(),
                result.receivedBytes(),
                result.messages(),
                result.core() * PERCENT,
                result.processCore() * PERCENT,
                result.heapBytes() / KILO,
                result.suspectFirst(),
                result.suspectLast(),
                result.deadLast(),
                result.ofPaused(),
                result.ofRunning(),
                result.falseDeaths(),
                result.changeMillis());
    }

    private static void fits(List<MeasuredFleet.Result> results) {
        say("");
        say("| per node | at 0 | slope a node | error of slope | at %d | error there | limit |", TARGET);
        say("| --- | ---: | ---: | ---: | ---: | ---: | ---: |");
        fit(
                results,
                "sent and received KB/s",
                result -> (result.sentBytes() + result.receivedBytes()) / KILO,
                BYTES_LIMIT / KILO);
        fit(results, "core %", result -> result.core() * PERCENT, CORE_LIMIT * PERCENT);
        fit(results, "process core %", result -> result.processCore() * PERCENT, CORE_LIMIT * PERCENT);
        fit(results, "heap MB", result -> result.heapBytes() / MEGA, HEAP_LIMIT / MEGA);
    }

    private static void fit(
            List<MeasuredFleet.Result> results,
            String name,
            ToDoubleFunction<MeasuredFleet.Result> value,
            double limit) {
        List<LinearFit.Point> points = new ArrayList<>();
        for (MeasuredFleet.Result result : results) {
            points.add(new LinearFit.Point(result.size(), value.applyAsDouble(result)));
        }
        LinearFit fit = LinearFit.through(points);
        say(
                "| %s | %.4f | %.6f | %.6f | %.3f | %.3f | %.1f |",
                name, fit.intercept(), fit.slope(), fit.slopeError(), fit.at(TARGET), fit.errorAt(TARGET), limit);
    }

    private static void say(String format, Object... values) {
        System.out.println(String.format(Locale.ROOT, format, values));
    }
}
