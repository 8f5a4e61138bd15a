package org.dotterelcourse.gateway.forward;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;

import org.dotterelcourse.gateway.GatewayState;
import org.dotterelcourse.gateway.routing.Route;
import org.dotterelcourse.gateway.workers.Placement;
import org.dotterelcourse.gateway.workers.WorkerEntry;
import org.dotterelcourse.gateway.workers.WorkerState;
import org.dotterelcourse.gateway.workers.Workers;
import org.dotterelcourse.policy.selection.EngineModel;
import org.dotterelcourse.policy.selection.EnginePartition;
import org.dotterelcourse.policy.selection.EngineSelector;
import org.dotterelcourse.policy.selection.GapClassifier;
import org.dotterelcourse.policy.selection.LatencyClass;
import org.dotterelcourse.policy.selection.LeastLoadedSelector;
import org.dotterelcourse.policy.selection.Prompt;
import org.dotterelcourse.policy.selection.SelectionResult;
import org.dotterelcourse.policy.selection.WorkerLoad;

/**
 * Selects a worker for a call and counts the call there. Calls with a prompt are placed by {@link EngineSelector}, all
 * others by {@link LeastLoadedSelector}. Also updates the statistics that the selectors use.
 */
final class WorkerSelection {
    /**
     * Fraction of a route's timeout within which a response of typical length should complete, counted from its dispatch
     * to an engine. It leaves enough time for a response of twice that length.
     */
    private static final double TYPICAL_COMPLETION_FRACTION = 0.5;

    private final String dataCentre;
    private final GatewayState state;
    private final RandomGenerator random;
    private final LeastLoadedSelector leastLoaded;

    WorkerSelection(String dataCentre, GatewayState state, RandomGenerator random) {
        this.dataCentre = dataCentre;
        this.state = state;
        this.random = random;
        this.leastLoaded = new LeastLoadedSelector(random);
    }

    /** Result of selecting a worker for a call. */
    sealed interface Outcome {
        /**
         * A worker was selected, and the call is counted there.
         *
         * @param placement the worker, with the call counted as in flight
         * @param fetchFrom the address of the engine from which to fetch cached parts of the prompt, or empty if none
         * @param prefillMillis estimated time in milliseconds to process the prompt; 0 without a prompt
         */
        record Placed(Placement placement, String fetchFrom, double prefillMillis) implements Outcome {}

        /** All eligible engines are at their limit of streams. */
        record NoCapacity() implements Outcome {}

        /** There is no eligible worker. */
        record NoWorker() implements Outcome {}
    }

    /** Determines the latency class of the call's stream and records its work in the partition of its upstream. */
    void recordArrival(Call call, long nowNanos) {
        call.attributes().prompt().ifPresent(prompt -> {
            Prompt classified = classified(call, prompt, nowNanos);
            partition(call).recordArrival(classified, nowNanos);
        });
    }

    private Prompt classified(Call call, Prompt prompt, long nowNanos) {
        String upstream = call.attributes().upstream().name();
        Route route = call.attributes().route();
        GapClassifier classifier = state.gapClassifier(upstream);
        LatencyClass latencyClass = classifier.classify(
                new GapClassifier.Stream(
                        route.gapTargetMillis(),
                        route.targetMillis(),
                        call.attributes().upstream().tokensPerEvent(),
                        prompt.prefillMillis(0)),
                nowNanos);
        if (latencyClass == prompt.latencyClass()) {
            return prompt;
        }
        Prompt classified = prompt.withLatencyClass(latencyClass);
        call.replacePrompt(classified);
        return classified;
    }

    /** Returns the time in milliseconds within which a response of typical length should complete on the call's route. */
    static double typicalCompletionMillis(Call call) {
        return TYPICAL_COMPLETION_FRACTION * call.attributes().route().timeoutMillis();
    }

    /** Selects a worker and counts the call there, regardless of how many streams it has. */
    Outcome place(Call call, long nowNanos) {
        return place(call, Integer.MAX_VALUE, nowNanos);
    }

    /** Selects a worker as {@link #place(Call, long)} does, but only among engines below their limit of streams. */
    Outcome placeWithinCapacity(Call call, long nowNanos) {
        return place(call, maxStreams(call), nowNanos);
    }

    private int maxStreams(Call call) {
        return state.engineModel(call.attributes().upstream().name()).maxStreamsWithin(typicalCompletionMillis(call));
    }

    /**
     * Returns the number of free slots at the upstream's engines for calls like this one, shared by all processes. Counts the
     * engines among which {@link EngineSelector} selects: suspected ones only if there are no others.
     */
    int freeSlots(Call call, long nowNanos) {
        int maxStreams = maxStreams(call);
        List<WorkerLoad> receiving = candidates(call, nowNanos).stream()
                .filter(WorkerLoad::canReceive)
                .toList();
        boolean areAllSuspected = receiving.stream().allMatch(WorkerLoad::suspected);
        return receiving.stream()
                .filter(engine -> areAllSuspected || !engine.suspected())
                .mapToInt(engine -> Math.max(0, engine.streamLimit(maxStreams) - engine.inFlight()))
                .sum();
    }

    private Outcome place(Call call, int maxStreams, long nowNanos) {
        List<WorkerLoad> candidates = candidates(call, nowNanos);
        Optional<Prompt> prompt = call.attributes().prompt();
        if (prompt.isEmpty()) {
            return leastLoaded
                    .select(dataCentre, candidates, nowNanos)
                    .flatMap(state.workers()::find)
                    .map(worker -> placeWithoutPrompt(call, worker, nowNanos))
                    .orElseGet(Outcome.NoWorker::new);
        }
        Call.Attributes attributes = call.attributes();
        EngineSelector selector = new EngineSelector(
                dataCentre,
                state.cachedPrefixes(),
                partition(call),
                attributes.upstream().transfer(),
                state.gapClassifier(attributes.upstream().name()).gapCost(),
                random);
        SelectionResult result = selector.choose(prompt.get(), candidates, maxStreams, nowNanos);
        if (result instanceof SelectionResult.Selected selected) {
            return state.workers()
                    .find(selected.id())
                    .map(worker -> placeAtEngine(call, worker, selected, nowNanos))
                    .orElseGet(Outcome.NoWorker::new);
        }
        return result instanceof SelectionResult.NoCapacity ? new Outcome.NoCapacity() : new Outcome.NoWorker();
    }

    /**
     * Returns the eligible workers. Two requests under which a worker crashed are kept on separate workers where
     * possible, so that the next crash shows which of them is the cause.
     */
    private List<WorkerLoad> candidates(Call call, long nowNanos) {
        Workers workers = state.workers();
        String upstream = call.attributes().upstream().name();
        if (call.isSuspect()) {
            Set<String> excluded = new HashSet<>(call.triedWorkers());
            excluded.addAll(workers.withSuspectRequests());
            List<WorkerLoad> withoutSuspects =
                    workers.candidates(upstream, excluded, call.versions()::accepts, nowNanos);
            if (withoutSuspects.stream().anyMatch(WorkerLoad::canReceive)) {
                return withoutSuspects;
            }
        }
        return workers.candidates(upstream, call.triedWorkers(), call.versions()::accepts, nowNanos);
    }

    private Placement place(Call call, WorkerState worker, boolean isInteractive, double prefillMillis, long nowNanos) {
        Placement placement = state.workers().place(worker, isInteractive, prefillMillis, nowNanos);
        if (call.isSuspect()) {
            placement.markSuspect();
        }
        return placement;
    }

    private Outcome placeWithoutPrompt(Call call, WorkerState worker, long nowNanos) {
        return new Outcome.Placed(place(call, worker, false, 0, nowNanos), "", 0);
    }

    private Outcome placeAtEngine(Call call, WorkerState worker, SelectionResult.Selected selected, long nowNanos) {
        Prompt prompt = call.attributes().prompt().orElseThrow();
        double prefillMillis = prompt.prefillMillis(selected.cachedTokens());
        String fetchFrom = selected.fetchSource()
                .flatMap(state.workers()::find)
                .map(source -> source.entry().address())
                .orElse("");
        boolean isInteractive = prompt.latencyClass() == LatencyClass.GAP_SENSITIVE;
        return new Outcome.Placed(
                place(call, worker, isInteractive, prefillMillis, nowNanos), fetchFrom, prefillMillis);
    }

    /** Records that a placed call is about to be sent. */
    void recordSend(Call call, Outcome.Placed placed, long nowNanos) {
        WorkerEntry worker = placed.placement().entry();
        call.recordSend(worker, nowNanos);
        call.attributes().prompt().ifPresent(prompt -> {
            state.cachedPrefixes().recordSent(prompt, worker.incarnation(), nowNanos);
            if (prompt.latencyClass() == LatencyClass.DELAY_TOLERANT) {
                model(call).recordDispatch(placed.prefillMillis(), prompt.outputTokens());
            }
        });
    }

    private EnginePartition partition(Call call) {
        return state.enginePartition(call.attributes().upstream().name());
    }

    private EngineModel model(Call call) {
        return state.engineModel(call.attributes().upstream().name());
    }
}
