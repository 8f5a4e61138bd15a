package org.dotterelcourse.daemon.dispatch;

import java.util.concurrent.atomic.AtomicBoolean;

import org.dotterelcourse.daemon.upstream.EngineEvent;
import org.dotterelcourse.daemon.upstream.ServiceReply;
import org.dotterelcourse.daemon.upstream.UpstreamFailure;
import org.dotterelcourse.policy.cell.Completion;

/** Measures one use of a grant and releases the grant with the measurements, which the scheduler uses for its estimates. */
final class GrantUse {
    private static final UpstreamFailure PREEMPTION_FAILURE =
            new UpstreamFailure(UpstreamFailure.Kind.PREEMPTED, "stopped for a higher tier");

    private final long startNanos = System.nanoTime();
    private long firstTokenNanos = -1;
    private int outputTokens;
    private final AtomicBoolean released = new AtomicBoolean();
    private Completion.End end = Completion.End.CANCELLED;

    void record(EngineEvent event) {
        if (event instanceof EngineEvent.Piece) {
            if (firstTokenNanos < 0) {
                firstTokenNanos = System.nanoTime() - startNanos;
            }
            outputTokens++;
        } else if (event instanceof EngineEvent.Finished) {
            end = Completion.End.ANSWERED;
        } else {
            end = completionEnd(((EngineEvent.Failed) event).failure());
        }
    }

    void record(ServiceReply reply) {
        if (reply instanceof ServiceReply.Failed failed) {
            end = completionEnd(failed.failure());
        } else {
            firstTokenNanos = System.nanoTime() - startNanos;
            outputTokens = 1;
            end = Completion.End.ANSWERED;
        }
    }

    /** Releases the grant. Further calls have no effect. */
    void release(GrantSource grants, Grant grant) {
        if (released.compareAndSet(false, true)) {
            grants.release(grant, new Completion(end, firstTokenNanos, System.nanoTime() - startNanos, outputTokens));
        }
    }

    /** Returns the final event of a stream that the scheduler has preempted, since the engine sends none in this case. */
    static EngineEvent preemptionEvent() {
        return new EngineEvent.Failed(PREEMPTION_FAILURE);
    }

    static boolean isLast(EngineEvent event) {
        return !(event instanceof EngineEvent.Piece);
    }

    private static Completion.End completionEnd(UpstreamFailure failure) {
        return switch (failure.kind()) {
            case UNREACHABLE -> Completion.End.UNREACHABLE;
            case REFUSED -> Completion.End.REFUSED;
            case LEAVING -> Completion.End.LEAVING;
            case BROKEN, SILENT -> Completion.End.FAILED;
            case PREEMPTED -> Completion.End.CANCELLED;
        };
    }
}
