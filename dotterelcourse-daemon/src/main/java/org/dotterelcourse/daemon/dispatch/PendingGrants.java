package org.dotterelcourse.daemon.dispatch;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import org.dotterelcourse.configuration.Worker;
import reactor.core.publisher.MonoSink;
import reactor.core.publisher.Sinks;

/**
 * The asks of one cell whose callers wait, and the grants that are out. Used on the control loop only.
 *
 * <p>A caller that goes away while its grant is on the way would leave the grant without a holder, and the worker's
 * place empty until the process ends. So the grant of each ask is kept until it is released, and a cancelled ask gives
 * back what it was granted.
 */
final class PendingGrants {
    private final String cell;
    private final Map<String, MonoSink<GrantResult>> waiting = new HashMap<>();
    private final Map<String, Grant> byAsk = new HashMap<>();
    private final Map<Long, Sinks.Empty<Void>> preemptions = new HashMap<>();

    PendingGrants(String cell) {
        this.cell = cell;
    }

    void add(String askId, MonoSink<GrantResult> sink) {
        waiting.put(askId, sink);
    }

    boolean isWaiting(String askId) {
        return waiting.containsKey(askId);
    }

    void forget(String askId) {
        waiting.remove(askId);
    }

    /** Hands a grant to its caller; empty if nobody waits for it any more. */
    Optional<Grant> granted(String askId, long number, Worker worker) {
        MonoSink<GrantResult> sink = waiting.remove(askId);
        if (sink == null) {
            return Optional.empty();
        }
        Sinks.Empty<Void> preempted = Sinks.empty();
        Grant grant = new Grant(cell, number, askId, worker, preempted.asMono());
        preemptions.put(number, preempted);
        byAsk.put(askId, grant);
        sink.success(new GrantResult.Granted(grant));
        return Optional.of(grant);
    }

    void refused(String askId, GrantResult.Refused refused) {
        MonoSink<GrantResult> sink = waiting.remove(askId);
        if (sink != null) {
            sink.success(refused);
        }
    }

    void preempted(long number) {
        Sinks.Empty<Void> preemption = preemptions.get(number);
        if (preemption != null) {
            preemption.tryEmitEmpty();
        }
    }

    /** The grant that an ask has, if any. */
    Optional<Grant> outstanding(String askId) {
        return Optional.ofNullable(byAsk.get(askId));
    }

    /** Takes a grant out; false if it was taken out before. */
    boolean release(Grant grant) {
        preemptions.remove(grant.number());
        return byAsk.remove(grant.askId(), grant);
    }
}
