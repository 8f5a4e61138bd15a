package org.dotterelcourse.gateway.forward;

import java.util.Optional;

import org.dotterelcourse.gateway.GatewayLoop;
import org.dotterelcourse.gateway.GatewayState;
import org.dotterelcourse.gateway.workers.Placement;
import org.dotterelcourse.gateway.workers.WorkerEntry;
import org.jboss.logging.Logger;
import reactor.core.publisher.Mono;

/**
 * Obtains a slot before a request is sent to a brittle worker. All requests pass here, whichever way they came to the worker:
 * first attempts, retries, queued and resumed ones, and those of peers.
 */
final class SlotAttempts {
    private static final Logger LOG = Logger.getLogger(SlotAttempts.class);

    /** Reason of a rejection because no brittle worker has room in time. */
    static final String NO_ROOM = "brittle workers have no room";

    /** Workers that are asked for a slot for one request. */
    private static final int MAX_WORKERS = 3;

    /** Fraction of the latency target, and of the remaining time, for which a request waits for a slot of one worker. */
    private static final double WAIT_FRACTION = 0.25;

    /** Shortest such time: a message to the owner of the slots and its answer, at busy processes. */
    private static final long MIN_WAIT_MILLIS = 20;

    /** Longest time for which a worker without a free slot is not asked for one again. */
    private static final long MAX_HOLD_OFF_MILLIS = 20;

    private final GatewayLoop loop;
    private final GatewayState state;
    private Optional<SlotSource> source = Optional.empty();

    SlotAttempts(GatewayLoop loop, GatewayState state) {
        this.loop = loop;
        this.state = state;
    }

    void setSource(SlotSource value) {
        source = Optional.of(value);
    }

    /** Returns whether a slot is needed for a placed request. */
    boolean isNeeded(Placement placement) {
        return source.isPresent() && state.workers().brittle().contains(placement.entry(), loop.nowNanos());
    }

    /** Returns whether the worker has a slot for the request, which the placement uses then. */
    Mono<Boolean> acquire(Call call, Placement placement) {
        long nowNanos = loop.nowNanos();
        double waitMillis =
                WAIT_FRACTION * Math.min(call.attributes().route().targetMillis(), call.remainingMillis(nowNanos));
        SlotSource.Request request = new SlotSource.Request(
                (int) Math.max(MIN_WAIT_MILLIS, waitMillis),
                call.attributes().priority(),
                call.attributes().arrivalNanos());
        placement.beginAsking();
        return source.orElseThrow().ask(placement.entry(), request).map(result -> isUsable(call, placement, result));
    }

    private boolean isUsable(Call call, Placement placement, SlotSource.Result result) {
        if (result instanceof SlotSource.Result.Granted granted) {
            placement.useSlot(granted.slot());
            boolean isUsable = granted.slot().tryUse();
            if (!isUsable) {
                call.recordNoSlot(placement.entry(), 0);
            }
            return isUsable;
        }
        long retryAfterMillis = ((SlotSource.Result.Rejected) result).retryAfterMillis();
        call.recordNoSlot(placement.entry(), retryAfterMillis);
        state.workers()
                .brittle()
                .holdOff(placement.entry().id(), Math.min(MAX_HOLD_OFF_MILLIS, retryAfterMillis / 2), loop.nowNanos());
        return false;
    }

    /** Returns whether a call that has got no slot may ask for one of another worker. */
    boolean mayTryAgain(Call call, long nowNanos) {
        return call.slotRejections() < MAX_WORKERS && RetryPolicy.hasTimeLeft(call, nowNanos);
    }

    /** Logs a rejection by a brittle worker, since a few of them within a second crash it. */
    void logRejection(Call call, Placement placement, String reason) {
        long nowNanos = loop.nowNanos();
        WorkerEntry worker = placement.entry();
        if (!placement.isAtPeer() && state.workers().brittle().contains(worker, nowNanos)) {
            LOG.infof(
                    "brittle worker %s rejected request %s (%s), it bears %s rejections a second and has %d slots;"
                            + " in flight: %s; the request is retried or refused",
                    worker.id(),
                    call.attributes().id(),
                    reason,
                    state.workers().brittle().maxRejections(worker, nowNanos),
                    worker.slots(),
                    state.workers().brittle().describeLoad(worker.id()));
        }
    }
}
