package org.dotterelcourse.standins;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;

/**
 * When which request arrives: an independent Poisson process for each class, made before the run from its seed, so that
 * the same run can be sent to two builds. Arrivals don't wait for answers.
 */
final class Arrivals {
    private static final double NANOS_PER_SECOND = 1e9;

    /**
     * One request to be sent.
     *
     * @param nanos when, from the start of the run
     * @param requestClass its class
     * @param number its number in the run
     * @param key the customer's key
     * @param tokens the length of its answer
     */
    record Arrival(long nanos, LoadClass requestClass, int number, String key, int tokens) {}

    private final LoadSpec spec;
    private final SplittableRandom random;

    private Arrivals(LoadSpec spec) {
        this.spec = spec;
        this.random = new SplittableRandom(spec.seed());
    }

    static List<Arrival> of(LoadSpec spec) {
        return new Arrivals(spec).all();
    }

    private List<Arrival> all() {
        double weights = spec.classes().stream().mapToDouble(LoadClass::weight).sum();
        List<Arrival> all = new ArrayList<>();
        for (LoadClass each : spec.classes()) {
            process(each, spec.ratePerSecond() * each.weight() / weights, all);
        }
        all.sort(Comparator.comparingLong(Arrival::nanos));
        return all;
    }

    /** Thins a process at the class's highest rate, which gives the right rate inside and outside of bursts. */
    private void process(LoadClass requestClass, double rate, List<Arrival> all) {
        double highest = rate;
        for (LoadSpec.Burst each : spec.bursts()) {
            if (each.requestClass().equals(requestClass.name())) {
                highest = Math.max(highest, rate * each.factor());
            }
        }
        double at = 0;
        long end = spec.length().toNanos();
        while (true) {
            at += -Math.log(1 - random.nextDouble()) / highest * NANOS_PER_SECOND;
            if (at >= end) {
                return;
            }
            if (random.nextDouble() * highest < rate * factor(requestClass, (long) at)) {
                all.add(arrival(requestClass, (long) at, all.size()));
            }
        }
    }

    private Arrival arrival(LoadClass requestClass, long nanos, int number) {
        String key = requestClass.keys().get(random.nextInt(requestClass.keys().size()));
        int tokens = random.nextInt(requestClass.leastTokens(), requestClass.mostTokens() + 1);
        return new Arrival(nanos, requestClass, number, key, tokens);
    }

    private double factor(LoadClass requestClass, long nanos) {
        double factor = 1;
        for (LoadSpec.Burst each : spec.bursts()) {
            long start = each.start().toNanos();
            boolean inside = nanos >= start && nanos < start + each.length().toNanos();
            if (inside && each.requestClass().equals(requestClass.name())) {
                factor = Math.max(factor, each.factor());
            }
        }
        return factor;
    }
}
