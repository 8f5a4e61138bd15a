package org.dotterelcourse.daemon.metrics;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;

import org.dotterelcourse.configuration.RequestClass;
import org.dotterelcourse.daemon.dispatch.AnswerEvent;
import org.dotterelcourse.daemon.dispatch.Outcome;
import org.dotterelcourse.daemon.dispatch.ServiceAnswer;
import org.dotterelcourse.daemon.dispatch.WorkerListener;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/**
 * Tracks one request from its arrival to its end and reports it to {@link RequestMetrics} exactly once, even if the
 * caller cancels it.
 */
public final class RequestTracker implements WorkerListener {
    /** Share of token intervals that may exceed the target of the request class: 95 % must be within it. */
    private static final double MAX_LATE_INTERVAL_SHARE = 0.05;

    private final RequestMetrics metrics;
    private final String id;
    private final String customer;
    private final RequestClass requestClass;
    private final long arrivalNanos;
    private final RequestEndListener endListener;
    private final AtomicBoolean ended = new AtomicBoolean();
    private volatile String worker = "";
    private long firstOutputNanos = -1;
    private long lastTokenNanos;
    private int tokens;
    private int lateIntervals;

    RequestTracker(
            RequestMetrics metrics,
            String id,
            String customer,
            RequestClass requestClass,
            long arrivalNanos,
            RequestEndListener endListener) {
        this.metrics = metrics;
        this.id = id;
        this.customer = customer;
        this.requestClass = requestClass;
        this.arrivalNanos = arrivalNanos;
        this.endListener = endListener;
    }

    /**
     * Tracks a streamed answer.
     *
     * @param events events of the answer
     * @return the same events, to be subscribed to instead
     */
    public Flux<AnswerEvent> track(Flux<AnswerEvent> events) {
        return events.doOnNext(this::handle).doOnCancel(() -> end(new Outcome.Unknown(), "cancelled"));
    }

    /**
     * Tracks the answer of a plain service, which arrives as a whole.
     *
     * @param answer the answer
     * @return the same answer, to be subscribed to instead
     */
    public Mono<ServiceAnswer> track(Mono<ServiceAnswer> answer) {
        return answer.doOnNext(this::handle).doOnCancel(() -> end(new Outcome.Unknown(), "cancelled"));
    }

    @Override
    public void sentTo(String name) {
        worker = name;
    }

    private void handle(AnswerEvent event) {
        if (event instanceof AnswerEvent.Piece) {
            recordToken(System.nanoTime());
        } else if (event instanceof AnswerEvent.Finished) {
            end(new Outcome.Answered(), "");
        } else {
            AnswerEvent.Failed failed = (AnswerEvent.Failed) event;
            end(failed.failure().outcome(), failed.failure().title());
        }
    }

    private void handle(ServiceAnswer answer) {
        if (answer instanceof ServiceAnswer.Failed failed) {
            end(failed.failure().outcome(), failed.failure().title());
            return;
        }
        firstOutputNanos = System.nanoTime() - arrivalNanos;
        end(new Outcome.Answered(), "");
    }

    private void recordToken(long nowNanos) {
        tokens++;
        if (firstOutputNanos < 0) {
            firstOutputNanos = nowNanos - arrivalNanos;
        } else if (nowNanos - lastTokenNanos > TimeUnit.MILLISECONDS.toNanos(requestClass.tokenIntervalMillis())) {
            lateIntervals++;
        }
        lastTokenNanos = nowNanos;
    }

    private void end(Outcome outcome, String reason) {
        if (ended.compareAndSet(false, true)) {
            endListener.ended(outcome, tokens);
            metrics.recordEnd(this, outcome, reason);
        }
    }

    String id() {
        return id;
    }

    String customer() {
        return customer;
    }

    /** Returns the worker to which the request was sent last, empty if it was not sent. */
    String worker() {
        return worker;
    }

    String requestClass() {
        return requestClass.name();
    }

    /** Returns the time from arrival to the first output in nanoseconds, -1 if there was none. */
    long firstOutputNanos() {
        return firstOutputNanos;
    }

    long durationNanos() {
        return System.nanoTime() - arrivalNanos;
    }

    int tokens() {
        return tokens;
    }

    /** Returns whether the first output and the token intervals met the latency targets of the request class. */
    boolean metTargets() {
        boolean firstOutputInTime =
                firstOutputNanos >= 0 && firstOutputNanos <= TimeUnit.MILLISECONDS.toNanos(requestClass.targetMillis());
        return firstOutputInTime && lateIntervals <= tokens * MAX_LATE_INTERVAL_SHARE;
    }
}
