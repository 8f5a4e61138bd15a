package org.dotterelcourse.policy.selection;

import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.random.RandomGenerator;

/**
 * Selects the engine with the lowest estimated cost for a prompt. The cost, in milliseconds, is the expected delay of the
 * request on that engine plus the delay that it causes to other requests there.
 *
 * <p>It handles long prompts among interactive streams. An engine reads prompts in chunks between the steps that make
 * tokens. Each chunk of a long prompt lengthens a step by about 50 ms, more than the gap target of an interactive stream
 * allows, and a whole long prompt delays the first event of the requests queued after it by up to 1.6 s. Engines are
 * therefore partitioned between the latency classes by the ranks of their addresses ({@link EnginePartition}). Requests of
 * a fully loaded partition spill over to other partitions, at a penalty.
 *
 * <p>Costs are those of an engine of nominal speed, multiplied by the engine's slowness.
 *
 * <p>It also handles prompts with shared parts, which are half of the prefill work of the workloads in use. A prompt goes
 * to an engine that has its parts in its cache, as far as the processes have reported to each other, unless the queue there
 * takes much longer than reading the parts. Each part has a few preferred engines in its partition, which all processes
 * determine alike by rendezvous hashing; it is rarely read elsewhere, however busy they are. If they are busy, another
 * engine fetches the parts from one that has them in its cache, which takes a few milliseconds instead of more than a
 * hundred.
 */
public final class EngineSelector implements WorkerSelector<Prompt> {
    /** Prompt tokens that an engine reads in one millisecond: 62.4 in the data sheet of the engines in use. */
    static final double PREFILL_TOKENS_PER_MILLI = 62;

    /**
     * Cost of each other request in flight on the engine: a step grows by 0.165 ms per stream, over about 60 steps (data
     * sheet).
     */
    private static final double STREAM_MILLIS = 10;

    /**
     * Penalty for sending a whole prompt of the usual length outside its partition, by latency class: somewhat more than
     * half of the usual latency targets (0.5, 0.8 and 2.5 s), so that a request leaves its partition only if it would
     * otherwise be late.
     */
    private static final Map<LatencyClass, Double> OTHER_PARTITION_MILLIS = Map.of(
            LatencyClass.GAP_SENSITIVE,
            300.0,
            LatencyClass.START_SENSITIVE,
            480.0,
            LatencyClass.DELAY_TOLERANT,
            1_500.0);

    /**
     * Prefill time of a whole prompt of the usual length, by latency class. A prompt whose parts are cached on the engine
     * delays the streams there less, and its penalty for leaving the partition is lower in proportion. Cached parts are
     * thus still used, and not read again elsewhere, after the partition has changed.
     */
    private static final Map<LatencyClass, Double> USUAL_PREFILL_MILLIS = Map.of(
            LatencyClass.GAP_SENSITIVE, 24.0, LatencyClass.START_SENSITIVE, 170.0, LatencyClass.DELAY_TOLERANT, 350.0);

    /** Minimum wait of a request without a free slot: the shortest streams take about a second. */
    private static final double NO_SLOT_MILLIS = 1_000;

    /**
     * Weight of the time to read shared parts again on one of their preferred engines, by latency class. A request that
     * goes elsewhere reads its parts there and delays the requests queued after it, which then go elsewhere too. With these
     * weights, the usual parts (0.35, 6.3 and 13.3 thousand tokens) outweigh a wait of 0.03, 0.3 and 1.5 s, within the
     * usual latency targets (0.5, 0.8 and 2 s).
     */
    private static final Map<LatencyClass, Double> REREAD_WEIGHT = Map.of(
            LatencyClass.GAP_SENSITIVE, 4.0, LatencyClass.START_SENSITIVE, 2.0, LatencyClass.DELAY_TOLERANT, 6.0);

    /**
     * Factor on {@link #REREAD_WEIGHT} for engines that are not preferred. It limits the number of engines that read the
     * same parts when a burst arrives before any engine has read them.
     */
    private static final double NON_PREFERRED_FACTOR = 4;

    /** Preferred engines of a part; the least busy of them reads it first. One of three is free most of the time. */
    private static final int PREFERRED_ENGINES = 3;

    /**
     * Cost difference between consecutive preferred engines of parts that no engine has read. It is above the random part
     * of the cost, so that processes that get the same parts at the same moment select the same engine, and below the time
     * of one prompt.
     */
    private static final double PREFERENCE_STEP_MILLIS = 60;

    /**
     * Weight of fetching parts relative to reading them again. A copy takes memory and link bandwidth, so a prompt still
     * goes to the engine that has its parts unless it would wait there for long.
     */
    private static final double FETCH_WEIGHT = 0.5;

    /** Range of the random part of the cost: peers that see the same load must not all select the same engine. */
    private static final double NOISE_MILLIS = 12;

    /** Cost of the latency and the traffic to another data centre. */
    private static final double REMOTE_MILLIS = 8;

    private static final int[] NO_RANKS = {};

    private final String dataCentre;
    private final CachedPrefixes prefixes;
    private final EnginePartition partition;
    private final TransferCost transferCost;
    private final GapCost gapCost;
    private final RandomGenerator random;

    /**
     * Creates a selector for which the delay of interactive streams does not depend on their gap target.
     *
     * @param dataCentre data centre of this process
     * @param prefixes prompt parts that the engines probably have in their caches
     * @param partition partition of the engines between the latency classes
     * @param transferCost cost of fetching cached parts from another engine
     * @param random source of randomness for breaking ties
     */
    public EngineSelector(
            String dataCentre,
            CachedPrefixes prefixes,
            EnginePartition partition,
            TransferCost transferCost,
            RandomGenerator random) {
        this(dataCentre, prefixes, partition, transferCost, GapCost.NONE, random);
    }

    /**
     * Creates a selector.
     *
     * @param dataCentre data centre of this process
     * @param prefixes prompt parts that the engines probably have in their caches
     * @param partition partition of the engines between the latency classes
     * @param transferCost cost of fetching cached parts from another engine
     * @param gapCost weight of the delay of interactive streams by prompts that are read beside them
     * @param random source of randomness for breaking ties
     */
    public EngineSelector(
            String dataCentre,
            CachedPrefixes prefixes,
            EnginePartition partition,
            TransferCost transferCost,
            GapCost gapCost,
            RandomGenerator random) {
        this.dataCentre = dataCentre;
        this.prefixes = prefixes;
        this.partition = partition;
        this.transferCost = transferCost;
        this.gapCost = gapCost;
        this.random = random;
    }

    @Override
    public Optional<String> select(Prompt prompt, List<WorkerLoad> workers, long nowNanos) {
        return choose(prompt, workers, Integer.MAX_VALUE, nowNanos) instanceof SelectionResult.Selected selected
                ? Optional.of(selected.id())
                : Optional.empty();
    }

    /**
     * Selects an engine among those that have capacity for one more request. Suspected engines are selected only if no
     * others may receive requests.
     *
     * @param prompt the prompt
     * @param workers all engines that the prompt may be sent to; cheaper if they are in the order of
     *     {@link WorkerRanking}
     * @param maxStreams limit of the requests in flight on one engine, in addition to its slots;
     *     {@link Integer#MAX_VALUE} disables both limits
     * @param nowNanos current monotonic time in nanoseconds
     * @return the selected engine, or why none was selected
     */
    public SelectionResult choose(Prompt prompt, List<WorkerLoad> workers, int maxStreams, long nowNanos) {
        if (workers.isEmpty()) {
            return new SelectionResult.NoEngine();
        }
        List<WorkerLoad> ranked = WorkerRanking.ranked(workers);
        boolean anyHealthy = isAnyHealthy(ranked);
        // By the number of engines: ranges by measured capacity would move with the measurements, and parts of prompts
        // would
        // be read again at other preferred engines.
        EnginePartition.Range range = partition.range(prompt.latencyClass(), ranked.size());
        // Ranks and partition must not depend on suspicions. Processes suspect different engines at different times, so
        // they would then disagree on the preferred engines of every part.
        int[] preferred = preferredRanks(prompt, ranked, range, anyHealthy);
        CachedPrefixes.Lookup cached = prefixes.lookup(prompt, nowNanos);
        Map<String, Source> sources = new HashMap<>();
        String sourceVersion = null;
        Source source = Source.NONE;
        PromptCosts costs = new PromptCosts(prompt, cached.isLastSharedPartCachedAnywhere());
        WorkerLoad best = null;
        int bestCached = 0;
        Source bestSource = Source.NONE;
        double minCost = Double.MAX_VALUE;
        for (int i = 0; i < ranked.size(); i++) {
            WorkerLoad worker = ranked.get(i);
            if (anyHealthy && worker.suspected() || !worker.canReceive() || !hasCapacity(worker, maxStreams)) {
                continue;
            }
            int local = cached.cachedTokens(worker.incarnation());
            if (!worker.version().equals(sourceVersion)) {
                sourceVersion = worker.version();
                source = sources.computeIfAbsent(sourceVersion, version -> fetchSource(ranked, version, cached));
            }
            double slowness = worker.performance().slowness();
            boolean fetches = isFetchFaster(prompt, local, source.tokens(), slowness);
            int tokens = fetches ? source.tokens() : local;
            double cost = costs.load(worker, tokens, slowness)
                    + costs.fetch(tokens - local)
                    + costs.reread(tokens, preference(preferred, i), slowness)
                    + (range.contains(i) ? 0 : costs.otherPartition(tokens));
            if (cost < minCost) {
                minCost = cost;
                best = worker;
                bestCached = tokens;
                bestSource = fetches ? source : Source.NONE;
            }
        }
        return best == null
                ? new SelectionResult.NoCapacity()
                : new SelectionResult.Selected(
                        best.id(),
                        bestCached,
                        bestSource == Source.NONE ? Optional.empty() : Optional.of(bestSource.worker()));
    }

    private static boolean isAnyHealthy(List<WorkerLoad> workers) {
        for (WorkerLoad worker : workers) {
            if (worker.canReceive() && !worker.suspected()) {
                return true;
            }
        }
        return false;
    }

    /**
     * Engine with the longest cached prefix of a prompt, from which others can fetch it.
     *
     * @param worker id of the engine
     * @param tokens length of the prefix in tokens; 0 if there is no such engine
     */
    private record Source(String worker, int tokens) {
        private static final Source NONE = new Source("", 0);
    }

    private Source fetchSource(List<WorkerLoad> workers, String version, CachedPrefixes.Lookup cached) {
        if (cached.isEmpty() || transferCost.millisPerToken() == Double.POSITIVE_INFINITY) {
            return Source.NONE;
        }
        WorkerLoad longest = null;
        int maxTokens = 0;
        for (WorkerLoad worker : workers) {
            boolean isSource = worker.canBeFetchedFrom() && worker.version().equals(version);
            int tokens = isSource ? cached.fetchableTokens(worker.incarnation()) : 0;
            if (tokens > maxTokens) {
                maxTokens = tokens;
                longest = worker;
            }
        }
        return longest == null ? Source.NONE : new Source(longest.id(), maxTokens);
    }

    private boolean isFetchFaster(Prompt prompt, int local, int fetchable, double slowness) {
        return fetchable > local
                && transferCost.millis(fetchable - local)
                        < slowness * (prompt.prefillMillis(local) - prompt.prefillMillis(fetchable));
    }

    private static boolean hasCapacity(WorkerLoad worker, int maxStreams) {
        return maxStreams == Integer.MAX_VALUE || worker.inFlight() < worker.streamLimit(maxStreams);
    }

    /** Costs of one prompt on the engines. What does not depend on the engine is determined once per prompt. */
    private final class PromptCosts {
        private final Prompt prompt;
        private final boolean cachedAnywhere;
        private final boolean gapSensitive;
        private final int sharedTokens;
        private final double rereadWeight;
        private final double usualPrefillMillis;
        private final double otherPartitionMillis;

        PromptCosts(Prompt prompt, boolean cachedAnywhere) {
            this.prompt = prompt;
            this.cachedAnywhere = cachedAnywhere;
            LatencyClass latencyClass = prompt.latencyClass();
            this.gapSensitive = latencyClass == LatencyClass.GAP_SENSITIVE;
            this.sharedTokens = prompt.sharedTokens();
            this.rereadWeight = REREAD_WEIGHT.get(latencyClass);
            this.usualPrefillMillis = USUAL_PREFILL_MILLIS.get(latencyClass);
            this.otherPartitionMillis = OTHER_PARTITION_MILLIS.get(latencyClass);
        }

        /** Cost of the work itself. All of it takes longer on a slow engine. */
        double load(WorkerLoad worker, int cached, double slowness) {
            double prefill = prompt.prefillMillis(cached);
            double cost = worker.prefillMillis() + prefill + STREAM_MILLIS * worker.inFlight();
            if (worker.inFlight() >= worker.slots()) {
                cost += NO_SLOT_MILLIS * (1 + worker.inFlight() - worker.slots()) / Math.max(1, worker.slots())
                        + NO_SLOT_MILLIS;
            }
            if (!gapSensitive) {
                cost += prefill * worker.interactiveStreams() * gapCost.weight(slowness);
            }
            // A gap-sensitive stream itself is late on a slow engine whenever a prompt is read beside it.
            cost *= gapSensitive ? slowness * gapCost.weight(slowness) : slowness;
            boolean local = worker.dataCentre().equals(dataCentre);
            return cost + (local ? 0 : REMOTE_MILLIS) + random.nextDouble() * NOISE_MILLIS;
        }

        /**
         * Cost of reading shared parts, in addition to the prefill time. Parts that no engine has cached cost nothing more
         * on a preferred engine than the step between preferred engines, since one engine has to read them.
         */
        double reread(int cached, int preference, double slowness) {
            double millis = slowness * Math.max(0, sharedTokens - cached) / PREFILL_TOKENS_PER_MILLI;
            if (preference < 0) {
                return NON_PREFERRED_FACTOR * rereadWeight * millis;
            }
            return cachedAnywhere ? rereadWeight * millis : PREFERENCE_STEP_MILLIS * preference;
        }

        double fetch(int tokens) {
            return tokens <= 0
                    ? 0
                    : transferCost.millis(tokens) + FETCH_WEIGHT * rereadWeight * tokens / PREFILL_TOKENS_PER_MILLI;
        }

        double otherPartition(int cached) {
            return otherPartitionMillis * Math.min(1, prompt.prefillMillis(cached) / usualPrefillMillis);
        }
    }

    /**
     * Ranks of the preferred engines of a prompt, the most preferred first: rendezvous hashing of its last shared part over
     * the engines of its partition.
     */
    private static int[] preferredRanks(
            Prompt prompt, List<WorkerLoad> ranked, EnginePartition.Range range, boolean anyHealthy) {
        Optional<Prompt.Part> part = prompt.lastSharedPart();
        if (part.isEmpty()) {
            return NO_RANKS;
        }
        int key = part.get().id().hashCode();
        int[] ranks = new int[PREFERRED_ENGINES];
        int[] weights = new int[PREFERRED_ENGINES];
        int count = 0;
        for (int rank = range.from(); rank < range.to(); rank++) {
            WorkerLoad worker = ranked.get(rank);
            if (anyHealthy && worker.suspected()) {
                continue;
            }
            int weight = RankHash.hash(key, worker.address());
            int position = count;
            while (position > 0 && weight > weights[position - 1]) {
                position--;
            }
            if (position == PREFERRED_ENGINES) {
                continue;
            }
            count = Math.min(count + 1, PREFERRED_ENGINES);
            for (int i = count - 1; i > position; i--) {
                ranks[i] = ranks[i - 1];
                weights[i] = weights[i - 1];
            }
            ranks[position] = rank;
            weights[position] = weight;
        }
        return Arrays.copyOf(ranks, count);
    }

    /** Position of an engine among the preferred ones; negative if it is not preferred. */
    private static int preference(int[] preferred, int rank) {
        for (int i = 0; i < preferred.length; i++) {
            if (preferred[i] == rank) {
                return i;
            }
        }
        return -1;
    }
}
