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
     * @param args names of patterns, or {@code cost} for the cost of a decision; none for all
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
    }

    private static void print(PrintStream out, String name, Pattern pattern) {
        out.printf("%n## %s%n%n%s.%n%n", name, pattern.meaning());
        out.println(
                "| scheduler | attained: eligibility | coupon | drafts | summaries | coupon, other customers | goodput, tokens/s | wasted tokens"
                        + " | prompt tokens read, millions | read again | longest wait, s | shed by tier | failed | lowest class's share | preempted |");
        out.println("| --- | --: | --: | --: | --: | --: | --: | --: | --: | --: | --- | --- | --: | --: | --: |");
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
                "| %s | %s | %.1f %% | %.0f | %.0f | %.1f | %.0f | %s | %s | %.1f | %.1f %% | %.0f |%n",
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
