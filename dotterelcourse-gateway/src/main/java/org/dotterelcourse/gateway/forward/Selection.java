package org.dotterelcourse.gateway.forward;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;

import org.dotterelcourse.gateway.GatewayState;
import org.dotterelcourse.gateway.workers.Placement;
import org.dotterelcourse.gateway.workers.WorkerState;
import org.dotterelcourse.gateway.workers.Workers;
import org.dotterelcourse.policy.selection.EngineModel;
import org.dotterelcourse.policy.selection.EnginePartition;
import org.dotterelcourse.policy.selection.EngineSelector;
import org.dotterelcourse.policy.selection.LatencyClass;
import org.dotterelcourse.policy.selection.LeastLoadedSelector;
import org.dotterelcourse.policy.selection.Prompt;
import org.dotterelcourse.policy.selection.SelectionResult;
import org.dotterelcourse.policy.selection.WorkerLoad;

/** Finds a worker for a call by the selectors of the policy, and keeps what they need to know. */
final class Selection {
    /**
     * Part of a route's timeout in which a usual answer is to end, counted from when an engine gets it, so that one of
     * twice the usual length ends as well.
     */
    private static final double USUAL_PART = 0.5;

    private final String dataCentre;
    private final GatewayState state;
    private final RandomGenerator random;
    private final LeastLoadedSelector leastLoaded;

    Selection(String dataCentre, GatewayState state, RandomGenerator random) {
        this.dataCentre = dataCentre;
        this.state = state;
        this.random = random;
        this.leastLoaded = new LeastLoadedSelector(random);
    }

    /** How a call fared. */
    sealed interface Outcome {
        /**
         * It has a worker and is counted there.
         *
         * @param placement where
         * @param fetchFrom address of the engine from which to fetch parts of its prompt, empty if from none
         */
        record Placed(Placement placement, String fetchFrom) implements Outcome {}

        /** Every engine that it may go to is full. */
        record NoRoom() implements Outcome {}

        /** There is no worker that it may go to. */
        record NoWorker() implements Outcome {}
    }

    /** Counts the call's work into its upstream's split. */
    void arrived(Call call, long nowNanos) {
        call.terms().prompt().ifPresent(prompt -> split(call).recordArrival(prompt, nowNanos));
    }

    /** The time in which a usual answer on the call's route is to end, in milliseconds. */
    static double usualMillis(Call call) {
        return USUAL_PART * call.terms().route().timeoutMillis();
    }

    /** Chooses a worker and counts the call there, however full it is. */
    Outcome place(Call call, long nowNanos) {
        return place(call, Integer.MAX_VALUE, nowNanos);
    }

    /** The same, but only at an engine that has room. */
    Outcome placeInRoom(Call call, long nowNanos) {
        return place(call, mostStreams(call), nowNanos);
    }

    private int mostStreams(Call call) {
        return state.engineModel(call.terms().upstream().name()).maxStreamsWithin(usualMillis(call));
    }

    /** Places that are free at the upstream's engines for calls like this one, whoever takes them. */
    int room(Call call, long nowNanos) {
        int most = mostStreams(call);
        return candidates(call, nowNanos).stream()
                .filter(engine -> engine.canReceive() && !engine.suspected())
                .mapToInt(engine -> Math.max(0, Math.min(most, engine.slots()) - engine.inFlight()))
                .sum();
    }

    private Outcome place(Call call, int mostStreams, long nowNanos) {
        List<WorkerLoad> candidates = candidates(call, nowNanos);
        Optional<Prompt> prompt = call.terms().prompt();
        if (prompt.isEmpty()) {
            return leastLoaded
                    .select(dataCentre, candidates, nowNanos)
                    .flatMap(state.workers()::find)
                    .map(worker -> plain(call, worker, nowNanos))
                    .orElseGet(Outcome.NoWorker::new);
        }
        Call.Terms terms = call.terms();
        EngineSelector selector = new EngineSelector(
                dataCentre,
                state.cachedPrefixes(),
                split(call),
                terms.upstream().transfer(),
                random);
        SelectionResult choice = selector.choose(prompt.get(), candidates, mostStreams, nowNanos);
        if (choice instanceof SelectionResult.Selected engine) {
            return state.workers()
                    .find(engine.id())
                    .map(worker -> engine(call, worker, engine, nowNanos))
                    .orElseGet(Outcome.NoWorker::new);
        }
        return choice instanceof SelectionResult.NoCapacity ? new Outcome.NoRoom() : new Outcome.NoWorker();
    }

    /** Requests under which a worker crashed are kept apart where that goes, so that the next crash tells which it was. */
    private List<WorkerLoad> candidates(Call call, long nowNanos) {
        Workers workers = state.workers();
        String upstream = call.terms().upstream().name();
        if (call.suspect()) {
            Set<String> except = new HashSet<>(call.tried());
            except.addAll(workers.withSuspectRequests());
            List<WorkerLoad> apart = workers.candidates(upstream, except, nowNanos);
            if (!apart.isEmpty()) {
                return apart;
            }
        }
        return workers.candidates(upstream, call.tried(), nowNanos);
    }

    private Placement place(Call call, WorkerState worker, boolean interactive, double prefill, long nowNanos) {
        Placement placement = state.workers().place(worker, interactive, prefill, nowNanos);
        if (call.suspect()) {
            placement.markSuspect();
        }
        return placement;
    }

    private Outcome plain(Call call, WorkerState worker, long nowNanos) {
        call.sending(worker.entry().id(), nowNanos);
        return new Outcome.Placed(place(call, worker, false, 0, nowNanos), "");
    }

    private Outcome engine(Call call, WorkerState worker, SelectionResult.Selected engine, long nowNanos) {
        Prompt prompt = call.terms().prompt().orElseThrow();
        call.sending(worker.entry().id(), nowNanos);
        double prefill = prompt.prefillMillis(engine.cachedTokens());
        state.cachedPrefixes().recordSent(prompt, worker.entry().incarnation(), nowNanos);
        if (prompt.latencyClass() == LatencyClass.DELAY_TOLERANT) {
            model(call).recordDispatch(prefill, prompt.outputTokens());
        }
        String fetchFrom = engine.fetchSource()
                .flatMap(state.workers()::find)
                .map(source -> source.entry().address())
                .orElse("");
        boolean interactive = prompt.latencyClass() == LatencyClass.GAP_SENSITIVE;
        return new Outcome.Placed(place(call, worker, interactive, prefill, nowNanos), fetchFrom);
    }

    private EnginePartition split(Call call) {
        return state.enginePartition(call.terms().upstream().name());
    }

    private EngineModel model(Call call) {
        return state.engineModel(call.terms().upstream().name());
    }
}
