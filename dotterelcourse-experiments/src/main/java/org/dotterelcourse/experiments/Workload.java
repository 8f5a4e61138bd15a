package org.dotterelcourse.experiments;

import java.util.List;
import java.util.Random;
import java.util.Set;

import org.dotterelcourse.policy.cell.CellRequest;
import org.dotterelcourse.policy.cell.ClassTerms;

/** Draws the requests of a trial: classes and sizes after Sabla's, ten customers, three of them large. */
final class Workload {
    static final int WORKERS = 13;
    static final long SECOND = 1_000_000_000L;

    /** Output tokens a second of all workers with full batches. */
    static final double CAPACITY =
            WORKERS * FakeWorker.BATCH_LIMIT / (FakeWorker.STEP_NANOS * (1 + FakeWorker.STEP_GROWTH) / 1e9);

    static final List<ClassLoad> CLASSES = List.of(
            load(terms("eligibility", 1, 0.20, true, 1, 100, 200), 0.20, 40, 0.3, 800, 0),
            load(terms("coupon", 2, 0.15, false, 3, 100, 600), 0.20, 120, 0.5, 2_000, 0),
            load(terms("drafts", 3, 0.10, false, 10, 120, 1_500), 0.25, 300, 0.6, 4_000, 0.2),
            load(terms("summaries", 4, 0.10, false, 60, 200, 4_000), 0.35, 1_200, 0.6, 8_000, 0));

    private static final double[] CUSTOMER_WEIGHTS = {30, 20, 10, 6, 6, 6, 6, 6, 5, 5};

    private final Trial trial;
    private final Random random;
    private double hotPrefixFraction;
    private int promptFactor = 1;
    private int lastId;

    Workload(Trial trial, long seed) {
        this.trial = trial;
        this.random = new Random(seed);
    }

    Workload hotPrefix(double fraction) {
        hotPrefixFraction = fraction;
        return this;
    }

    Workload longPrompts(int factor) {
        promptFactor = factor;
        return this;
    }

    /** Adds all classes at a fraction of the capacity. */
    void all(double load, double fromSeconds, double toSeconds) {
        for (ClassLoad each : CLASSES) {
            one(each.times(load), fromSeconds, toSeconds, null);
        }
    }

    /** Adds requests of one class, of one customer or, if that is null, of all. */
    void one(ClassLoad load, double fromSeconds, double toSeconds, String customer) {
        double seconds = fromSeconds + gap(load.perSecond());
        while (seconds < toSeconds) {
            trial.arrive(call(load, (long) (seconds * SECOND), customer == null ? customer() : customer));
            seconds += gap(load.perSecond());
        }
    }

    private Call call(ClassLoad load, long arrivalNanos, String customer) {
        lastId++;
        double logMean = Math.log(load.meanTokens()) - load.spread() * load.spread() / 2;
        double length = Math.exp(logMean + load.spread() * random.nextGaussian());
        int tokens = (int) Math.max(2, Math.min(load.terms().maxOutputTokens(), length));
        boolean isHot = random.nextDouble() < hotPrefixFraction;
        long prefix = isHot ? 1 : (load.terms().name() + customer).hashCode();
        boolean idempotent = random.nextDouble() >= load.onceOnly();
        CellRequest ask = new CellRequest(
                "r" + lastId,
                load.terms(),
                customer,
                arrivalNanos,
                promptFactor * load.inputTokens(),
                prefix,
                idempotent,
                0,
                Set.of());
        return new Call(ask, tokens);
    }

    private String customer() {
        double point = random.nextDouble() * 100;
        int index = 0;
        while (index < CUSTOMER_WEIGHTS.length - 1 && point >= CUSTOMER_WEIGHTS[index]) {
            point -= CUSTOMER_WEIGHTS[index];
            index++;
        }
        return "customer-" + index;
    }

    private double gap(double perSecond) {
        return -Math.log(1 - random.nextDouble()) / perSecond;
    }

    private static ClassLoad load(
            ClassTerms terms, double workShare, double tokens, double spread, int input, double onceOnly) {
        return new ClassLoad(terms, workShare * CAPACITY / tokens, tokens, spread, input, onceOnly);
    }

    private static ClassTerms terms(
            String name, int tier, double share, boolean lateIsUseless, long target, long intervalMillis, int most) {
        return new ClassTerms(name, tier, share, 250, lateIsUseless, target * SECOND, intervalMillis * 1_000_000, most);
    }
}
