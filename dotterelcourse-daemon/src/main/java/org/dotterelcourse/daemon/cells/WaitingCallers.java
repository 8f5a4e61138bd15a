package org.dotterelcourse.daemon.cells;

import java.util.HashMap;
import java.util.Map;

import org.dotterelcourse.configuration.Worker;
import org.dotterelcourse.daemon.dispatch.Grant;
import org.dotterelcourse.daemon.dispatch.GrantResult;
import reactor.core.publisher.MonoSink;
import reactor.core.publisher.Sinks;

/** The requests of one cell that wait for their grant here, and those that hold one, by the number of their ask. */
final class WaitingCallers {
    private final String cell;
    private final Map<Long, MonoSink<GrantResult>> waiting = new HashMap<>();
    private final Map<Long, Sinks.Empty<Void>> granted = new HashMap<>();

    WaitingCallers(String cell) {
        this.cell = cell;
    }

    void add(long ask, MonoSink<GrantResult> sink) {
        waiting.put(ask, sink);
    }

    void granted(long ask, Worker worker) {
        MonoSink<GrantResult> sink = waiting.remove(ask);
        Sinks.Empty<Void> preempted = Sinks.empty();
        granted.put(ask, preempted);
        sink.success(new GrantResult.Granted(new Grant(cell, ask, worker, preempted.asMono())));
    }

    void refused(long ask, GrantResult.Refused refused) {
        MonoSink<GrantResult> sink = waiting.remove(ask);
        if (sink != null) {
            sink.success(refused);
        }
    }

    void preempted(long ask) {
        Sinks.Empty<Void> preemption = granted.get(ask);
        if (preemption != null) {
            preemption.tryEmitEmpty();
        }
    }

    void forget(long ask) {
        waiting.remove(ask);
        granted.remove(ask);
    }
}
