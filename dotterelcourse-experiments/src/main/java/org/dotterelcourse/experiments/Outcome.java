package org.dotterelcourse.experiments;

import java.util.ArrayList;
import java.util.List;

import org.dotterelcourse.policy.cell.ClassTerms;

/**
 * What callers received in one trial, or on average in several.
 *
 * @param attainment per class, the fraction of offered requests that met their target
 * @param othersAttainment the same of class coupon for all customers but the hot one
 * @param longestWaitSeconds per class, the longest wait for a first token
 * @param shed per tier, requests refused
 * @param failed requests given up after they were sent
 * @param goodput output tokens a second of answers that met their target
 * @param wasted output tokens that were of no use
 * @param promptRead prompt tokens read
 * @param readAgain tokens read a second time
 * @param held output tokens that a crashed worker held
 * @param retries requests sent again after a failure
 * @param preemptions requests preempted
 * @param lowestShare the lowest class's fraction of all output tokens
 */
record Outcome(
        double[] attainment,
        double othersAttainment,
        double[] longestWaitSeconds,
        double[] shed,
        double failed,
        double goodput,
        double wasted,
        double promptRead,
        double readAgain,
        double held,
        double retries,
        double preemptions,
        double lowestShare) {
    static Outcome of(Trial trial) {
        int count = Workload.CLASSES.size();
        double[] offered = new double[count];
        double[] attained = new double[count];
        double[] longest = new double[count];
        double[] shed = new double[count];
        double failed = 0;
        double useful = 0;
        double others = 0;
        double othersAttained = 0;
        for (Call call : trial.calls) {
            int index = call.ask.terms().tier() - ClassTerms.HIGHEST_TIER;
            offered[index]++;
            shed[index] += call.state == Call.State.REFUSED ? 1 : 0;
            failed += call.state == Call.State.FAILED || call.state == Call.State.OPEN ? 1 : 0;
            if (call.firstTokenNanos >= 0) {
                longest[index] = Math.max(longest[index], (double) call.waitNanos() / Workload.SECOND);
            }
            if (isOfOthers(call)) {
                others++;
                othersAttained += call.attained() ? 1 : 0;
            }
            if (call.attained()) {
                attained[index]++;
                useful += call.totalTokens;
            }
        }
        for (int i = 0; i < count; i++) {
            attained[i] /= Math.max(1, offered[i]);
        }
        Tally tally = trial.tally;
        return new Outcome(
                attained,
                othersAttained / Math.max(1, others),
                longest,
                shed,
                failed,
                useful / Pattern.SECONDS,
                tally.wasted,
                trial.workers.values().stream()
                        .mapToDouble(worker -> worker.promptTokensRead)
                        .sum(),
                tally.readAgain,
                tally.heldByCrashed,
                tally.retries,
                tally.preemptions,
                tally.lowestShare());
    }

    static Outcome mean(List<Outcome> all) {
        List<double[]> rows = new ArrayList<>();
        for (Outcome each : all) {
            rows.add(each.figures());
        }
        return new Outcome(
                columns(all.stream().map(Outcome::attainment).toList()),
                columns(rows)[8],
                columns(all.stream().map(Outcome::longestWaitSeconds).toList()),
                columns(all.stream().map(Outcome::shed).toList()),
                columns(rows)[0],
                columns(rows)[1],
                columns(rows)[2],
                columns(rows)[9],
                columns(rows)[3],
                columns(rows)[4],
                columns(rows)[5],
                columns(rows)[6],
                columns(rows)[7]);
    }

    private static boolean isOfOthers(Call call) {
        boolean isCoupon = call.ask.terms().name().equals("coupon");
        return isCoupon && !call.ask.customer().equals(Pattern.HOT);
    }

    private double[] figures() {
        return new double[] {
            failed, goodput, wasted, readAgain, held, retries, preemptions, lowestShare, othersAttainment, promptRead
        };
    }

    private static double[] columns(List<double[]> rows) {
        double[] sums = new double[rows.get(0).length];
        for (double[] row : rows) {
            for (int i = 0; i < row.length; i++) {
                sums[i] += row[i] / rows.size();
            }
        }
        return sums;
    }
}
