package org.dotterelcourse.experiments;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** Prints every table of docs/measurements/POLICY.md as markdown, or those of the patterns named. */
public final class Main {
    private Main() {}

    /**
     * Runs the experiments.
     *
     * @param args names of patterns, {@code retries} or {@code cost}; none for all
     */
    public static void main(String[] args) {
        PrintStream out = System.out;
        List<String> wanted = List.of(args);
        for (Pattern pattern : Pattern.values()) {
            String name = pattern.name().toLowerCase(Locale.ROOT).replace('_', '-');
            if (wanted.isEmpty() || wanted.contains(name)) {
                print(out, name, pattern);
            }
        }
        if (wanted.isEmpty() || wanted.contains("retries")) {
            printRetries(out);
        }
        if (wanted.isEmpty() || wanted.contains("cost")) {
            printCost(out);
        }
    }

    private static void printRetries(PrintStream out) {
        out.printf(
                "%n## retries%n%nA fraction of all attempts fails, at 0.6 of the capacity, with and without a budget.%n%n");
        out.println("| failing | requests | retries within the budget | added load | answered"
                + " | retries without one | added load | answered |");
        out.println("| --: | --: | --: | --: | --: | --: | --: | --: |");
        for (int percent : RetryLoad.FAILING_PERCENT) {
            RetryLoad.Result bounded = RetryLoad.bounded(percent);
            RetryLoad.Result unbounded = RetryLoad.unbounded(percent);
            out.printf(
                    Locale.ROOT,
                    "| %d %% | %d | %.0f | %.1f %% | %d | %.0f | %.1f %% | %d |%n",
                    percent,
                    bounded.offered(),
                    bounded.retries(),
                    100 * bounded.retries() / bounded.offered(),
                    bounded.answered(),
                    unbounded.retries(),
                    100 * unbounded.retries() / unbounded.offered(),
                    unbounded.answered());
        }
    }

    private static void printCost(PrintStream out) {
        out.printf("%n## cost%n%nTime of one decision: half of a request that ends and a new one that comes.%n%n");
        out.println("| waiting | FIFO, mean | p99 | whole policy, mean | p99 | ratio of the means"
                + " | long jobs held back, mean | p99 |");
        out.println("| --: | --: | --: | --: | --: | --: | --: | --: |");
        for (int waiting : new int[] {1, 1_000, 10_000, 100_000}) {
            DecisionCost.Cost fifo = DecisionCost.fifo(waiting);
            DecisionCost.Cost tiered = DecisionCost.tiered(waiting, DecisionCost.Shape.MIXED);
            DecisionCost.Cost held = DecisionCost.tiered(waiting, DecisionCost.Shape.LONG_HELD_BACK);
            out.printf(
                    Locale.ROOT,
                    "| %d | %.2f µs | %.2f µs | %.2f µs | %.2f µs | %.1f | %.2f µs | %.2f µs |%n",
                    waiting,
                    fifo.meanNanos() / 1e3,
                    fifo.p99Nanos() / 1e3,
                    tiered.meanNanos() / 1e3,
                    tiered.p99Nanos() / 1e3,
                    tiered.meanNanos() / fifo.meanNanos(),
                    held.meanNanos() / 1e3,
                    held.p99Nanos() / 1e3);
        }
    }

    private static void print(PrintStream out, String name, Pattern pattern) {
        out.printf("%n## %s%n%n%s.%n%n", name, pattern.meaning());
        out.println(
                "| scheduler | attained: eligibility | coupon | drafts | summaries | coupon, other customers | goodput, tokens/s | wasted tokens"
                        + " | prompt tokens read, millions | read again | longest wait, s | shed by tier | failed | held by the crashed worker | lowest class's share | preempted |");
        out.println(
                "| --- | --: | --: | --: | --: | --: | --: | --: | --: | --: | --- | --- | --: | --: | --: | --: |");
        List<Contender> contenders = new ArrayList<>(Contender.baselines());
        contenders.add(Contender.WHOLE);
        contenders.addAll(Contender.ablations());
        contenders.add(Contender.STICKY);
        for (Contender contender : contenders) {
            row(out, contender, Experiment.run(pattern, contender));
        }
    }

    private static void row(PrintStream out, Contender contender, Outcome outcome) {
        out.printf(
                Locale.ROOT,
                "| %s | %s | %.1f %% | %.0f | %.0f | %.1f | %.0f | %s | %s | %.1f | %.0f | %.1f %% | %.0f |%n",
                contender.name(),
                join(outcome.attainment(), "%.1f %%", 100, " | "),
                100 * outcome.othersAttainment(),
                outcome.goodput(),
                outcome.wasted(),
                outcome.promptRead() / 1e6,
                outcome.readAgain(),
                join(outcome.longestWaitSeconds(), "%.1f", 1, " / "),
                join(outcome.shed(), "%.0f", 1, " / "),
                outcome.failed(),
                outcome.held(),
                100 * outcome.lowestShare(),
                outcome.preemptions());
    }

    private static String join(double[] values, String format, double factor, String separator) {
        List<String> parts = new ArrayList<>();
        for (double value : values) {
            parts.add(String.format(Locale.ROOT, format, factor * value));
        }
        return String.join(separator, parts);
    }
}
