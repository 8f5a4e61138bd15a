package org.dotterelcourse.gateway.forward;

import java.util.function.Function;

import com.codahale.metrics.MetricRegistry;
import org.dotterelcourse.gateway.GatewayLoop;
import org.dotterelcourse.gateway.GatewayState;
import org.dotterelcourse.gateway.workers.Placement;
import org.dotterelcourse.policy.selection.EngineModel;
import reactor.core.Disposable;
import reactor.core.publisher.Flux;

/** Passes on the event streams of workers, and records their progress and timings. */
final class StreamForwarder {
    /** Time for a response that the worker sends at the deadline to arrive. */
    static final long DEADLINE_GRACE_MILLIS = 60;

    private final GatewayLoop loop;
    private final GatewayState state;
    private final Reachability reachability;
    private final AttemptFailureHandler failureHandler;
    private final StreamProgress.Counters counters;

    StreamForwarder(
            GatewayLoop loop,
            GatewayState state,
            Reachability reachability,
            AttemptFailureHandler failureHandler,
            MetricRegistry metrics) {
        this.loop = loop;
        this.state = state;
        this.reachability = reachability;
        this.failureHandler = failureHandler;
        this.counters = StreamProgress.Counters.of(metrics);
    }

    /**
     * Passes on the events of one attempt.
     *
     * @param resume returns the further events after the connection has failed, or an error
     */
    Flux<byte[]> forward(
            Call call,
            Placement placement,
            StreamedResponse response,
            Function<WorkerConnectionException, Flux<byte[]>> resume) {
        StreamProgress progress = new StreamProgress(
                counters,
                placement,
                response.share(),
                event -> {
                    long nowNanos = loop.nowNanos();
                    if (!placement.isAtPeer()) {
                        reachability.recordReceived(nowNanos);
                    }
                    bindVersion(call);
                    placement.recordEvent(call.attributes().upstream().tokensPerEvent(), nowNanos);
                    call.events().record(event.id(), nowNanos);
                    recordEventTiming(call);
                },
                () -> recordCompletion(call, placement));
        Flux<byte[]> events = new EventRelay(response.body(), response.endsWithConnection(), progress)
                .onErrorResume(WorkerConnectionException.class, resume);
        if (call.attributes().route().isRetryable() && !placement.isAtPeer()) {
            events = closeWhenHanging(events, response);
        }
        long delayMillis = Math.max(0, call.remainingMillis(loop.nowNanos())) + DEADLINE_GRACE_MILLIS;
        return new StreamDeadline(events, loop.eventLoop(), delayMillis, state.shutdownSignal());
    }

    /** Breaks a stream that can be resumed when this process is cut off and open connections carry nothing either. */
    private Flux<byte[]> closeWhenHanging(Flux<byte[]> events, StreamedResponse response) {
        return Flux.defer(() -> {
            Disposable hanging = reachability
                    .hangingSignal()
                    .doOnSuccess(signal -> response.close().run())
                    .subscribe();
            return events.doFinally(signal -> hanging.dispose());
        });
    }

    /**
     * Binds a stream to the software version of the worker that has sent its first event. A worker that has restarted under
     * its id at another version since the request was sent may have sent it as either of them.
     */
    private void bindVersion(Call call) {
        if (!call.versions().isBound()) {
            String version = call.versions().attemptVersion();
            boolean hasChanged = state.workers()
                    .find(call.lastWorkerId())
                    .filter(worker -> !worker.entry().version().equals(version))
                    .isPresent();
            call.versions().bind(hasChanged ? "" : version);
        }
    }

    private void recordEventTiming(Call call) {
        EngineModel model = state.engineModel(call.attributes().upstream().name());
        if (call.events().count() > 1) {
            model.recordEventGap(
                    call.events().lastGapMillis(), call.attributes().upstream().tokensPerEvent());
        } else if (EngineQueues.isDelayTolerant(call)) {
            model.recordFirstEvent(call.millisSinceSend(loop.nowNanos()));
        }
    }

    private void recordCompletion(Call call, Placement placement) {
        placement.recordSuccess(loop.nowNanos());
        placement.recordStreamEnd(call.attributes().upstream().tokensPerEvent(), loop.nowNanos());
        failureHandler.recordFinished(call, true);
        if (EngineQueues.isDelayTolerant(call)) {
            int tokens = call.events().count() * call.attributes().upstream().tokensPerEvent();
            state.engineModel(call.attributes().upstream().name()).recordCompletion(tokens);
        }
    }
}
