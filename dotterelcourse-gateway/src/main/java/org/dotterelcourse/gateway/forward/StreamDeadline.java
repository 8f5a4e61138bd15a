package org.dotterelcourse.gateway.forward;

import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoop;
import org.reactivestreams.Subscription;
import reactor.core.CoreSubscriber;
import reactor.core.publisher.Flux;
import reactor.core.publisher.FluxOperator;

/**
 * Fails a stream at its deadline, so that the client does not take a stream still in progress for complete. Like {@code
 * takeUntilOther}, but without its locks: signals, cancellation and the timer run on one event loop.
 */
final class StreamDeadline extends FluxOperator<byte[], byte[]> {
    private final EventLoop loop;
    private final long delayMillis;

    /**
     * Creates the operator.
     *
     * @param source the stream, which signals on the event loop
     * @param loop the event loop
     * @param delayMillis the time from the subscription to the deadline in milliseconds
     */
    StreamDeadline(Flux<byte[]> source, EventLoop loop, long delayMillis) {
        super(source);
        this.loop = loop;
        this.delayMillis = delayMillis;
    }

    @Override
    public void subscribe(CoreSubscriber<? super byte[]> actual) {
        source.subscribe(new Timed(actual));
    }

    /** A subscription with its timer. */
    private final class Timed extends RelaySubscriber<byte[], byte[]> {
        private ScheduledFuture<?> timer;
        private boolean isEnded;

        private Timed(CoreSubscriber<? super byte[]> actual) {
            super(actual);
        }

        @Override
        public void onSubscribe(Subscription subscription) {
            timer = loop.schedule(this::expire, delayMillis, TimeUnit.MILLISECONDS);
            super.onSubscribe(subscription);
        }

        @Override
        public void onNext(byte[] bytes) {
            if (!isEnded) {
                actual().onNext(bytes);
            }
        }

        @Override
        public void onError(Throwable error) {
            if (end()) {
                actual().onError(error);
            }
        }

        @Override
        public void onComplete() {
            if (end()) {
                actual().onComplete();
            }
        }

        @Override
        public void cancel() {
            if (end()) {
                upstream().cancel();
            }
        }

        private void expire() {
            if (end()) {
                upstream().cancel();
                actual().onError(new StreamTimeoutException());
            }
        }

        /** Returns whether the stream had not ended before. */
        private boolean end() {
            boolean isFirst = !isEnded;
            isEnded = true;
            timer.cancel(false);
            return isFirst;
        }
    }
}
