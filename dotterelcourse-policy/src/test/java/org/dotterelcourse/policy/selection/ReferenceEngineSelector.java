package org.dotterelcourse.policy.selection;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.random.RandomGenerator;

/**
 * Reference for {@link EngineSelector}: evaluates each engine by itself, sorts all of them for each prompt, and reads
 * nothing in advance.
 */
final class ReferenceEngineSelector implements WorkerSelector<Prompt> {
    private static final double PREFILL_TOKENS_PER_MILLI = EngineSelector.PREFILL_TOKENS_PER_MILLI;

    private static final double STREAM_MILLIS = 10;

    private static final Map<LatencyClass, Double> OTHER_PARTITION_MILLIS = Map.of(
            LatencyClass.GAP_SENSITIVE,
            300.0,
            LatencyClass.START_SENSITIVE,
            480.0,
            LatencyClass.DELAY_TOLERANT,
            1_500.0);

    private static final Map<LatencyClass, Double> USUAL_PREFILL_MILLIS = Map.of(
            LatencyClass.GAP_SENSITIVE, 24.0, LatencyClass.START_SENSITIVE, 170.0, LatencyClass.DELAY_TOLERANT, 350.0);

    private static final double NO_SLOT_MILLIS = 1_000;

    private static final Map<LatencyClass, Double> REREAD_WEIGHT = Map.of(
            LatencyClass.GAP_SENSITIVE, 4.0, LatencyClass.START_SENSITIVE, 2.0, LatencyClass.DELAY_TOLERANT, 6.0);

    private static final double NON_PREFERRED_FACTOR = 4;

    private static final int PREFERRED_ENGINES = 3;

    private static final double PREFERENCE_STEP_MILLIS = 60;

    private static final double FETCH_WEIGHT = 0.5;

    private static final double NOISE_MILLIS = 12;

    private static final double REMOTE_MILLIS = 8;

    private final String dataCentre;
    private final CachedPrefixes prefixes;
    private final EnginePartition partition;
    private final TransferCost transferCost;
    private final RandomGenerator random;

    ReferenceEngineSelector(
            String dataCentre,
            CachedPrefixes prefixes,
            EnginePartition partition,
            TransferCost transferCost,
            RandomGenerator random) {
        this.dataCentre = dataCentre;
        this.prefixes = prefixes;
        this.partition = partition;
        this.transferCost = transferCost;
        this.random = random;
    }

    @Override
    public Optional<String> select(Prompt prompt, List<WorkerLoad> workers, long nowNanos) {
        return choose(prompt, workers, Integer.MAX_VALUE, nowNanos) instanceof SelectionResult.Selected selected
                ? Optional.of(selected.id())
                : Optional.empty();
    }

    SelectionResult choose(Prompt prompt, List<WorkerLoad> workers, int maxStreams, long nowNanos) {
        boolean anyHealthy = workers.stream().anyMatch(each -> each.canReceive() && !each.suspected());
        List<WorkerLoad> ranked = new ArrayList<>(workers);
        ranked.sort(Comparator.comparingInt((WorkerLoad each) -> RankHash.hash(each.address()))
                .thenComparing(WorkerLoad::id));
        EnginePartition.Range range = partition.range(prompt.latencyClass(), ranked.size());
        // Ranks and partition must not depend on suspicions. Processes suspect different engines at different times, so
        // they would then disagree on the preferred engines of every part.
        List<String> preferred = preferredEngines(prompt, ranked.subList(range.from(), range.to()), anyHealthy);
        boolean cachedAnywhere = prompt.lastSharedPart()
                .filter(part -> prefixes.isCachedAnywhere(part.id(), nowNanos))
                .isPresent();
        Optional<Source> source = fetchSource(prompt, ranked, nowNanos);
        SelectionResult.Selected best = null;
        double minCost = Double.MAX_VALUE;
        for (int i = 0; i < ranked.size(); i++) {
            WorkerLoad worker = ranked.get(i);
            if (anyHealthy && worker.suspected() || !worker.canReceive() || !hasCapacity(worker, maxStreams)) {
                continue;
            }
            int local = prefixes.cachedTokens(prompt, worker.incarnation(), nowNanos);
            Optional<Source> usedSource = source.filter(each -> isFetchFaster(prompt, local, each));
            int cached = usedSource.map(Source::tokens).orElse(local);
            double cost = loadCost(prompt, worker, cached)
                    + fetchCost(prompt, cached - local)
                    + rereadCost(prompt, cached, cachedAnywhere, preferred.indexOf(worker.id()))
                    + (range.contains(i) ? 0 : partitionPenalty(prompt, cached));
            if (cost < minCost) {
                minCost = cost;
                best = new SelectionResult.Selected(worker.id(), cached, usedSource.map(Source::worker));
            }
        }
        if (best != null) {
            return best;
        }
        return workers.isEmpty() ? new SelectionResult.NoEngine() : new SelectionResult.NoCapacity();
    }

    private record Source(String worker, int tokens) {}

    private Optional<Source> fetchSource(Prompt prompt, List<WorkerLoad> workers, long nowNanos) {
        Source longest = new Source("", 0);
        for (WorkerLoad worker : workers) {
            int tokens =
                    worker.canBeFetchedFrom() ? prefixes.fetchableTokens(prompt, worker.incarnation(), nowNanos) : 0;
            longest = tokens > longest.tokens() ? new Source(worker.id(), tokens) : longest;
        }
        return longest.tokens() == 0 || transferCost.millisPerToken() == Double.POSITIVE_INFINITY
                ? Optional.empty()
                : Optional.of(longest);
    }

    private boolean isFetchFaster(Prompt prompt, int local, Source source) {
        double savedMillis = prompt.prefillMillis(local) - prompt.prefillMillis(source.tokens());
        return source.tokens() > local && transferCost.millis(source.tokens() - local) < savedMillis;
    }

    private static boolean hasCapacity(WorkerLoad worker, int maxStreams) {
        return maxStreams == Integer.MAX_VALUE || worker.inFlight() < Math.min(maxStreams, Math.max(1, worker.slots()));
    }

    private double loadCost(Prompt prompt, WorkerLoad worker, int cached) {
        double prefill = prompt.prefillMillis(cached);
        double cost = worker.prefillMillis() + prefill + STREAM_MILLIS * worker.inFlight();
        if (worker.inFlight() >= worker.slots()) {
            cost += NO_SLOT_MILLIS * (1 + worker.inFlight() - worker.slots()) / Math.max(1, worker.slots())
                    + NO_SLOT_MILLIS;
        }
        if (prompt.latencyClass() != LatencyClass.GAP_SENSITIVE) {
            cost += prefill * worker.interactiveStreams();
        }
        boolean local = worker.dataCentre().equals(dataCentre);
        return cost + (local ? 0 : REMOTE_MILLIS) + random.nextDouble() * NOISE_MILLIS;
    }

    private static double rereadCost(Prompt prompt, int cached, boolean cachedAnywhere, int preference) {
        double millis = Math.max(0, prompt.sharedTokens() - cached) / PREFILL_TOKENS_PER_MILLI;
        double weight = REREAD_WEIGHT.get(prompt.latencyClass());
        if (preference < 0) {
            return NON_PREFERRED_FACTOR * weight * millis;
        }
        return cachedAnywhere ? weight * millis : PREFERENCE_STEP_MILLIS * preference;
    }

    private double fetchCost(Prompt prompt, int tokens) {
        return tokens <= 0
                ? 0
                : transferCost.millis(tokens)
                        + FETCH_WEIGHT * REREAD_WEIGHT.get(prompt.latencyClass()) * tokens / PREFILL_TOKENS_PER_MILLI;
    }

    private static double partitionPenalty(Prompt prompt, int cached) {
        double fraction = prompt.prefillMillis(cached) / USUAL_PREFILL_MILLIS.get(prompt.latencyClass());
        return OTHER_PARTITION_MILLIS.get(prompt.latencyClass()) * Math.min(1, fraction);
    }

    private static List<String> preferredEngines(Prompt prompt, List<WorkerLoad> engines, boolean anyHealthy) {
        Optional<Prompt.Part> part = prompt.lastSharedPart();
        if (part.isEmpty()) {
            return List.of();
        }
        int hash = part.get().id().hashCode();
        return engines.stream()
                .filter(each -> !anyHealthy || !each.suspected())
                .sorted(Comparator.comparingInt((WorkerLoad each) -> RankHash.hash(hash, each.address()))
                        .reversed())
                .limit(PREFERRED_ENGINES)
                .map(WorkerLoad::id)
                .toList();
    }
}
