package org.dotterelcourse.daemon.cells;

import java.util.HashMap;
import java.util.Map;

import org.dotterelcourse.configuration.Worker;
import org.dotterelcourse.daemon.dispatch.Grant;
import org.dotterelcourse.daemon.dispatch.GrantResult;
import reactor.core.publisher.MonoSink;
import reactor.core.publisher.Sinks;

/** Callers of this daemon in one cell that wait for a grant or hold one, by request number. */
final class WaitingCallers {
    private final String cell;
    private final Map<Long, MonoSink<GrantResult>> waiting = new HashMap<>();
    private final Map<Long, Sinks.Empty<Void>> preemptionSinks = new HashMap<>();

    WaitingCallers(String cell) {
        this.cell = cell;
    }

    void add(long ask, MonoSink<GrantResult> sink) {
        waiting.put(ask, sink);
    }

    void grant(long ask, Worker worker) {
        MonoSink<GrantResult> sink = waiting.remove(ask);
        Sinks.Empty<Void> preempted = Sinks.empty();
        preemptionSinks.put(ask, preempted);
        sink.success(new GrantResult.Granted(new Grant(cell, ask, worker, preempted.asMono())));
    }

    void refuse(long ask, GrantResult.Refused refused) {
        MonoSink<GrantResult> sink = waiting.remove(ask);
        if (sink != null) {
            sink.success(refused);
        }
    }

    void preempt(long ask) {
        Sinks.Empty<Void> preemption = preemptionSinks.get(ask);
        if (preemption != null) {
            preemption.tryEmitEmpty();
        }
    }

    void remove(long ask) {
        waiting.remove(ask);
        preemptionSinks.remove(ask);
    }
}
