package org.dotterelcourse.daemon.dispatch;

import java.util.concurrent.atomic.AtomicBoolean;

import org.dotterelcourse.daemon.upstream.EngineEvent;
import org.dotterelcourse.daemon.upstream.ServiceReply;
import org.dotterelcourse.daemon.upstream.UpstreamFailure;
import org.dotterelcourse.policy.cell.Completion;

/** Watches one use of a grant and says in the end what was seen, for the scheduler to learn from. */
final class GrantUse {
    private static final UpstreamFailure PREEMPTION =
            new UpstreamFailure(UpstreamFailure.Kind.PREEMPTED, "stopped for a higher tier");

    private final long startNanos = System.nanoTime();
    private long firstTokenNanos = -1;
    private int outputTokens;
    private final AtomicBoolean released = new AtomicBoolean();
    private Completion.End end = Completion.End.CANCELLED;

    void add(EngineEvent event) {
        if (event instanceof EngineEvent.Piece) {
            if (firstTokenNanos < 0) {
                firstTokenNanos = System.nanoTime() - startNanos;
            }
            outputTokens++;
        } else if (event instanceof EngineEvent.Finished) {
            end = Completion.End.ANSWERED;
        } else {
            end = endOf(((EngineEvent.Failed) event).failure());
        }
    }

    void add(ServiceReply reply) {
        if (reply instanceof ServiceReply.Failed failed) {
            end = endOf(failed.failure());
        } else {
            firstTokenNanos = System.nanoTime() - startNanos;
            outputTokens = 1;
            end = Completion.End.ANSWERED;
        }
    }

    /** Gives the grant back, the first time it is called. */
    void release(GrantSource grants, Grant grant) {
        if (released.compareAndSet(false, true)) {
            grants.release(grant, new Completion(end, firstTokenNanos, System.nanoTime() - startNanos, outputTokens));
        }
    }

    /** Stands after the events of a stream that was cut by the scheduler, so that it too has a last event. */
    static EngineEvent preempted() {
        return new EngineEvent.Failed(PREEMPTION);
    }

    static boolean isLast(EngineEvent event) {
        return !(event instanceof EngineEvent.Piece);
    }

    private static Completion.End endOf(UpstreamFailure failure) {
        return switch (failure.kind()) {
            case UNREACHABLE -> Completion.End.UNREACHABLE;
            case REFUSED -> Completion.End.REFUSED;
            case LEAVING -> Completion.End.LEAVING;
            case BROKEN, SILENT -> Completion.End.FAILED;
            case PREEMPTED -> Completion.End.CANCELLED;
        };
    }
}
