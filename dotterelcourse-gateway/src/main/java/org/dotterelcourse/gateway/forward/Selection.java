package org.dotterelcourse.gateway.forward;

import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

import org.dotterelcourse.gateway.GatewayState;
import org.dotterelcourse.gateway.workers.Placement;
import org.dotterelcourse.gateway.workers.WorkerState;
import org.dotterelcourse.policy.selection.EngineSelector;
import org.dotterelcourse.policy.selection.EngineSplit;
import org.dotterelcourse.policy.selection.LeastLoadedSelector;
import org.dotterelcourse.policy.selection.Pace;
import org.dotterelcourse.policy.selection.Prompt;
import org.dotterelcourse.policy.selection.WorkerLoad;

/** Finds a worker for a call by the selectors of the policy, and keeps what they need to know. */
final class Selection {
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

    /** Counts the call's work into its upstream's split. */
    void arrived(Call call, long nowNanos) {
        call.terms().prompt().ifPresent(prompt -> split(call).arrived(prompt, nowNanos));
    }

    /** Chooses a worker and counts the call there. */
    Optional<Placement> place(Call call, long nowNanos) {
        List<WorkerLoad> candidates = state.workers().candidates(call.terms().upstream(), call.tried(), nowNanos);
        Optional<Prompt> prompt = call.terms().prompt();
        Optional<String> id = prompt.isPresent()
                ? new EngineSelector(dataCentre, state.prefixes(), split(call), random)
                        .select(prompt.get(), candidates, nowNanos)
                : leastLoaded.select(dataCentre, candidates, nowNanos);
        Optional<WorkerState> worker = id.flatMap(state.workers()::find);
        worker.ifPresent(chosen -> call.sending(chosen.entry().id()));
        return worker.map(chosen -> place(call, chosen, nowNanos));
    }

    private Placement place(Call call, WorkerState worker, long nowNanos) {
        int incarnation = worker.entry().incarnation();
        Optional<Prompt> prompt = call.terms().prompt();
        if (prompt.isEmpty()) {
            return state.workers().place(worker, false, 0);
        }
        double prefill = prompt.get().prefillMillis(state.prefixes().cachedTokens(prompt.get(), incarnation, nowNanos));
        state.prefixes().sent(prompt.get(), incarnation, nowNanos);
        return state.workers().place(worker, prompt.get().pace() == Pace.SHORT_PAUSES, prefill);
    }

    private EngineSplit split(Call call) {
        return state.split(call.terms().upstream());
    }
}
