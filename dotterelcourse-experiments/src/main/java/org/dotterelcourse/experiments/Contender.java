package org.dotterelcourse.experiments;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Random;
import java.util.function.LongFunction;

import org.dotterelcourse.policy.cell.CellScheduler;
import org.dotterelcourse.policy.cell.CellSettings;
import org.dotterelcourse.policy.cell.FifoScheduler;
import org.dotterelcourse.policy.cell.Mechanism;
import org.dotterelcourse.policy.cell.TieredScheduler;

/**
 * A scheduler that takes part in the experiments.
 *
 * @param name how the tables call it
 * @param maker makes it from a seed
 */
record Contender(String name, LongFunction<CellScheduler> maker) {
    static final int MAX_WAITING = 400;
    private static final int DAEMONS = 7;
    private static final int MOST_OPEN = MAX_WAITING + Workload.WORKERS * FakeWorker.BATCH_LIMIT;

    static final Contender WHOLE = new Contender("whole policy", seed -> tiered(settings()));

    /** What a hot prefix does to its worker when affinity knows no bound. */
    static final Contender STICKY = new Contender(
            "prefix affinity without bound", seed -> tiered(settings().affinitySlack(1e9)));

    static List<Contender> baselines() {
        return List.of(
                new Contender("FIFO, random worker", seed -> new FifoScheduler(MAX_WAITING, new Random(seed))),
                local("daemons alone, least outstanding", LocalDaemonsScheduler.Choice.LEAST_OUTSTANDING),
                local("daemons alone, two choices", LocalDaemonsScheduler.Choice.TWO_CHOICES));
    }

    static List<Contender> ablations() {
        List<Contender> all = new ArrayList<>();
        for (Mechanism mechanism : Mechanism.values()) {
            String name = "without " + mechanism.name().toLowerCase(Locale.ROOT).replace('_', ' ');
            all.add(new Contender(name, seed -> tiered(settings().disable(mechanism))));
        }
        return all;
    }

    static CellSettings.Builder settings() {
        return CellSettings.builder().maxWaiting(MAX_WAITING);
    }

    static CellScheduler tiered(CellSettings.Builder settings) {
        return TieredScheduler.builder().settings(settings.build()).build();
    }

    private static Contender local(String name, LocalDaemonsScheduler.Choice choice) {
        return new Contender(name, seed -> new LocalDaemonsScheduler(DAEMONS, MOST_OPEN, choice, new Random(seed)));
    }
}
