package org.dotterelcourse.policy.selection;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.random.RandomGenerator;

/**
 * Chooses an engine by the expected delay of the request there and of those it would hold up, in milliseconds.
 *
 * <p>It answers long prompts among interactive streams. An engine reads prompts in chunks between the steps that make
 * tokens; each chunk of a long prompt makes a step some 50 ms longer, so that every stream beside it pauses for more
 * than an interactive one may, and a whole one delays the first event of those behind it by up to 1.6 s. So the engines
 * are split, by rank of their addresses, between the paces of streams. A split that is full spills over, at a price.
 *
 * <p>It also answers prompts with shared parts: half of the prefill work of the workloads in use. A prompt goes to an
 * engine that has read its parts, as far as processes have told each other, unless others wait there for much longer than
 * the parts take to be read. Each part has a few homes, engines of its split that all processes agree on by rendezvous
 * hashing; it is read there and hardly anywhere else, however busy they are. Where they are busy, another engine fetches
 * from one that has read them, which takes some milliseconds in place of a hundred and more.
 */
public final class EngineSelector implements WorkerSelector<Prompt> {
    /** Prompt tokens that an engine reads in a millisecond, from the data sheet of the engines in use (62.4). */
    static final double PREFILL_TOKENS_PER_MILLI = 62;

    /**
     * What a stream that runs beside it costs a request: a step grows by 0.165 ms for each, over some 60 steps (data
     * sheet).
     */
    private static final double STREAM_MILLIS = 10;

    /**
     * What it costs to leave the split with a whole prompt of the usual length, by pace: somewhat over half of the usual
     * latency targets (0.5, 0.8 and 2.5 s), so that a request goes elsewhere only where it would else be late.
     */
    private static final Map<LatencyClass, Double> OTHER_SPLIT_MILLIS = Map.of(
            LatencyClass.GAP_SENSITIVE,
            300.0,
            LatencyClass.START_SENSITIVE,
            480.0,
            LatencyClass.DELAY_TOLERANT,
            1_500.0);

    /**
     * Prefill of a whole prompt of the usual length, by pace. One whose parts have been read there holds the streams up by
     * less, and costs as much less: when the split moves, parts are still used where they are and not read again.
     */
    private static final Map<LatencyClass, Double> USUAL_MILLIS = Map.of(
            LatencyClass.GAP_SENSITIVE, 24.0, LatencyClass.START_SENSITIVE, 170.0, LatencyClass.DELAY_TOLERANT, 350.0);

    /** What a request without a free slot waits at least: the shortest streams take about a second. */
    private static final double NO_SLOT_MILLIS = 1_000;

    /**
     * Weight of reading shared parts again at one of their homes, beside the time that it takes, by pace. A request that
     * goes elsewhere reads its parts there and delays those behind it, who then go elsewhere too. The usual parts (0.35,
     * 6.3 and 13.3 thousand tokens) thereby outweigh a wait of 0.03, 0.3 and 1.5 s, within the usual latency targets (0.5,
     * 0.8 and 2 s).
     */
    private static final Map<LatencyClass, Double> READ_AGAIN = Map.of(
            LatencyClass.GAP_SENSITIVE, 4.0, LatencyClass.START_SENSITIVE, 2.0, LatencyClass.DELAY_TOLERANT, 6.0);

    /**
     * How much more it weighs to read parts at an engine that is not one of their homes. It bounds the engines that read
     * the same parts when a burst meets engines that have read nothing yet.
     */
    private static final double NOT_HOME = 4;

    /** Engines that parts are first read at, the least busy of them: of three, one is mostly free. */
    private static final int HOMES = 3;

    /**
     * What the second home costs more than the first, and the third more than the second: above the noise, so that processes
     * that get the same parts in the same moment choose the same engine, and below the time of one prompt.
     */
    private static final double NEXT_HOME_MILLIS = 60;

    /**
     * Weight of fetching parts from another engine beside that of reading them again. A copy takes memory and part of a
     * link, so that a prompt goes on where its parts are unless it would wait there for long.
     */
    private static final double FETCH = 0.5;

    /** Spread of the random part: peers with the same figures must not all choose the same engine. */
    private static final double NOISE_MILLIS = 12;

    /** What the way to another data centre and the bytes on it cost. */
    private static final double FAR_MILLIS = 8;

    private final String dataCentre;
    private final CachedPrefixes prefixes;
    private final EnginePartition split;
    private final TransferCost transfer;
    private final RandomGenerator random;

    /**
     * Makes a selector.
     *
     * @param dataCentre where this process stands
     * @param prefixes what engines have read
     * @param split the engines of each pace
     * @param transfer what it takes to fetch parts from another engine
     * @param random breaks ties
     */
    public EngineSelector(
            String dataCentre,
            CachedPrefixes prefixes,
            EnginePartition split,
            TransferCost transfer,
            RandomGenerator random) {
        this.dataCentre = dataCentre;
        this.prefixes = prefixes;
        this.split = split;
        this.transfer = transfer;
        this.random = random;
    }

    @Override
    public Optional<String> select(Prompt prompt, List<WorkerLoad> workers, long nowNanos) {
        return choose(prompt, workers, Integer.MAX_VALUE, nowNanos) instanceof SelectionResult.Selected engine
                ? Optional.of(engine.id())
                : Optional.empty();
    }

    /**
     * Chooses among the engines that have room.
     *
     * @param prompt the prompt
     * @param workers the engines that it may be sent to
     * @param mostStreams how many requests an engine may have in flight to have room for one more; it has none beyond its
     *     slots either, unless this is {@link Integer#MAX_VALUE}
     * @param nowNanos the time on the monotonic clock
     * @return the engine, or why there is none
     */
    public SelectionResult choose(Prompt prompt, List<WorkerLoad> workers, int mostStreams, long nowNanos) {
        boolean anySound = workers.stream().anyMatch(each -> each.canReceive() && !each.suspected());
        List<WorkerLoad> ranked = new ArrayList<>(workers);
        ranked.sort(Comparator.comparingInt((WorkerLoad each) -> RankHash.mix(each.address()))
                .thenComparing(WorkerLoad::id));
        EnginePartition.Range range = split.range(prompt.latencyClass(), ranked.size());
        // Processes suspect different engines at different times; ranks and splits must not follow that, or their homes
        // would differ for every part.
        List<String> homes = homes(prompt, ranked.subList(range.from(), range.to()), anySound);
        boolean read = prompt.lastSharedPart()
                .filter(part -> prefixes.isCachedAnywhere(part.id(), nowNanos))
                .isPresent();
        Optional<Source> source = source(prompt, ranked, nowNanos);
        SelectionResult.Selected best = null;
        double least = Double.MAX_VALUE;
        for (int i = 0; i < ranked.size(); i++) {
            WorkerLoad worker = ranked.get(i);
            if (anySound && worker.suspected() || !worker.canReceive() || !hasRoom(worker, mostStreams)) {
                continue;
            }
            int own = prefixes.cachedTokens(prompt, worker.incarnation(), nowNanos);
            Optional<Source> used = source.filter(each -> pays(prompt, own, each));
            int cached = used.map(Source::tokens).orElse(own);
            double cost = cost(prompt, worker, cached)
                    + fetching(prompt, cached - own)
                    + reading(prompt, cached, read, homes.indexOf(worker.id()))
                    + (range.holds(i) ? 0 : outside(prompt, cached));
            if (cost < least) {
                least = cost;
                best = new SelectionResult.Selected(worker.id(), cached, used.map(Source::worker));
            }
        }
        if (best != null) {
            return best;
        }
        return workers.isEmpty() ? new SelectionResult.NoEngine() : new SelectionResult.NoCapacity();
    }

    /** An engine that has read most of a prompt's parts. */
    private record Source(String worker, int tokens) {}

    private Optional<Source> source(Prompt prompt, List<WorkerLoad> workers, long nowNanos) {
        Source most = new Source("", 0);
        for (WorkerLoad worker : workers) {
            int tokens = worker.suspected() ? 0 : prefixes.fetchableTokens(prompt, worker.incarnation(), nowNanos);
            most = tokens > most.tokens() ? new Source(worker.id(), tokens) : most;
        }
        return most.tokens() == 0 || transfer.millisPerToken() == Double.POSITIVE_INFINITY
                ? Optional.empty()
                : Optional.of(most);
    }

    /** Fetching pays where it is shorter than reading. */
    private boolean pays(Prompt prompt, int own, Source source) {
        double saved = prompt.prefillMillis(own) - prompt.prefillMillis(source.tokens());
        return source.tokens() > own && transfer.millis(source.tokens() - own) < saved;
    }

    private static boolean hasRoom(WorkerLoad worker, int mostStreams) {
        return mostStreams == Integer.MAX_VALUE
                || worker.inFlight() < Math.min(mostStreams, Math.max(1, worker.slots()));
    }

    private double cost(Prompt prompt, WorkerLoad worker, int cached) {
        double own = prompt.prefillMillis(cached);
        double cost = worker.prefillMillis() + own + STREAM_MILLIS * worker.inFlight();
        if (worker.inFlight() >= worker.slots()) {
            cost += NO_SLOT_MILLIS * (1 + worker.inFlight() - worker.slots()) / Math.max(1, worker.slots())
                    + NO_SLOT_MILLIS;
        }
        if (prompt.latencyClass() != LatencyClass.GAP_SENSITIVE) {
            cost += own * worker.interactiveStreams();
        }
        boolean near = worker.dataCentre().equals(dataCentre);
        return cost + (near ? 0 : FAR_MILLIS) + random.nextDouble() * NOISE_MILLIS;
    }

    /**
     * What it costs that parts are read. Those that nobody has read cost nothing beside their time at a home, since somebody
     * has to read them.
     */
    private static double reading(Prompt prompt, int cached, boolean readSomewhere, int home) {
        double millis = Math.max(0, prompt.sharedTokens() - cached) / PREFILL_TOKENS_PER_MILLI;
        double weight = READ_AGAIN.get(prompt.latencyClass());
        if (home < 0) {
            return NOT_HOME * weight * millis;
        }
        return readSomewhere ? weight * millis : NEXT_HOME_MILLIS * home;
    }

    private double fetching(Prompt prompt, int tokens) {
        return tokens <= 0
                ? 0
                : transfer.millis(tokens)
                        + FETCH * READ_AGAIN.get(prompt.latencyClass()) * tokens / PREFILL_TOKENS_PER_MILLI;
    }

    private static double outside(Prompt prompt, int cached) {
        double part = prompt.prefillMillis(cached) / USUAL_MILLIS.get(prompt.latencyClass());
        return OTHER_SPLIT_MILLIS.get(prompt.latencyClass()) * Math.min(1, part);
    }

    /** The engines where a prompt's parts are read, by rendezvous hashing of the last one over the prompt's split. */
    private static List<String> homes(Prompt prompt, List<WorkerLoad> inSplit, boolean anySound) {
        Optional<Prompt.Part> part = prompt.lastSharedPart();
        if (part.isEmpty()) {
            return List.of();
        }
        int hash = part.get().id().hashCode();
        return inSplit.stream()
                .filter(each -> !anySound || !each.suspected())
                .sorted(Comparator.comparingInt((WorkerLoad each) -> RankHash.mix(hash, each.address()))
                        .reversed())
                .limit(HOMES)
                .map(WorkerLoad::id)
                .toList();
    }
}
