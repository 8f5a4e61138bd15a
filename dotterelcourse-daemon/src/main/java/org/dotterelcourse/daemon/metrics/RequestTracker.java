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
 * Watches one request from its arrival to its end, and hands what was seen to {@link RequestMetrics} exactly once, also
 * when its caller goes away.
 */
public final class RequestTracker implements WorkerListener {
    /** The share of intervals between tokens that may be over the target: 95 in 100 are to be within. */
    private static final double LATE_INTERVALS_ALLOWED = 0.05;

    private final RequestMetrics metrics;
    private final String id;
    private final String customer;
    private final RequestClass requestClass;
    private final long arrivalNanos;
    private final RequestEndListener listener;
    private final AtomicBoolean ended = new AtomicBoolean();
    private volatile String worker = "";
    private long firstNanos = -1;
    private long lastNanos;
    private int tokens;
    private int lateIntervals;

    RequestTracker(
            RequestMetrics metrics,
            String id,
            String customer,
            RequestClass requestClass,
            long arrivalNanos,
            RequestEndListener listener) {
        this.metrics = metrics;
        this.id = id;
        this.customer = customer;
        this.requestClass = requestClass;
        this.arrivalNanos = arrivalNanos;
        this.listener = listener;
    }

    /**
     * Watches an answer in pieces.
     *
     * @param events the answer's events
     * @return the same events
     */
    public Flux<AnswerEvent> track(Flux<AnswerEvent> events) {
        return events.doOnNext(this::saw).doOnCancel(() -> end(new Outcome.Unknown(), "cancelled"));
    }

    /**
     * Watches a plain service's answer.
     *
     * @param answer the answer
     * @return the same answer
     */
    public Mono<ServiceAnswer> track(Mono<ServiceAnswer> answer) {
        return answer.doOnNext(this::saw).doOnCancel(() -> end(new Outcome.Unknown(), "cancelled"));
    }

    @Override
    public void sentTo(String name) {
        worker = name;
    }

    private void saw(AnswerEvent event) {
        if (event instanceof AnswerEvent.Piece) {
            sawToken(System.nanoTime());
        } else if (event instanceof AnswerEvent.Finished) {
            end(new Outcome.Answered(), "");
        } else {
            AnswerEvent.Failed failed = (AnswerEvent.Failed) event;
            end(failed.failure().outcome(), failed.failure().title());
        }
    }

    private void saw(ServiceAnswer answer) {
        if (answer instanceof ServiceAnswer.Failed failed) {
            end(failed.failure().outcome(), failed.failure().title());
            return;
        }
        firstNanos = System.nanoTime() - arrivalNanos;
        end(new Outcome.Answered(), "");
    }

    private void sawToken(long nowNanos) {
        tokens++;
        if (firstNanos < 0) {
            firstNanos = nowNanos - arrivalNanos;
        } else if (nowNanos - lastNanos > TimeUnit.MILLISECONDS.toNanos(requestClass.tokenIntervalMillis())) {
            lateIntervals++;
        }
        lastNanos = nowNanos;
    }

    private void end(Outcome outcome, String reason) {
        if (ended.compareAndSet(false, true)) {
            listener.ended(outcome, tokens);
            metrics.ended(this, outcome, reason);
        }
    }

    String id() {
        return id;
    }

    String customer() {
        return customer;
    }

    /** The worker that it was sent to last, empty if to none. */
    String worker() {
        return worker;
    }

    String requestClass() {
        return requestClass.name();
    }

    long firstNanos() {
        return firstNanos;
    }

    long durationNanos() {
        return System.nanoTime() - arrivalNanos;
    }

    int tokens() {
        return tokens;
    }

    boolean attained() {
        boolean inTime = firstNanos >= 0 && firstNanos <= TimeUnit.MILLISECONDS.toNanos(requestClass.targetMillis());
        return inTime && lateIntervals <= tokens * LATE_INTERVALS_ALLOWED;
    }
}
