package org.dotterelcourse.gateway.forward;

import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoop;
import org.dotterelcourse.gateway.ShutdownSignal;
import org.reactivestreams.Subscription;
import reactor.core.CoreSubscriber;
import reactor.core.publisher.Flux;
import reactor.core.publisher.FluxOperator;

/**
 * Fails a stream at its deadline, or when the process is about to end, so that the client does not take a stream still in progress for complete. Like {@code
 * takeUntilOther}, but without its locks: signals, cancellation and the timer run on one event loop.
 */
final class StreamDeadline extends FluxOperator<byte[], byte[]> {
    private final EventLoop loop;
    private final long delayMillis;
    private final ShutdownSignal shutdown;

    /**
     * Creates the operator.
     *
     * @param source the stream, which signals on the event loop
     * @param loop the event loop
     * @param delayMillis the time from the subscription to the deadline in milliseconds
     * @param shutdown tells that the process is about to end
     */
    StreamDeadline(Flux<byte[]> source, EventLoop loop, long delayMillis, ShutdownSignal shutdown) {
        super(source);
        this.shutdown = shutdown;
        this.loop = loop;
        this.delayMillis = delayMillis;
    }

    @Override
    public void subscribe(CoreSubscriber<? super byte[]> actual) {
        source.subscribe(new Timed(actual));
    }

    /** A subscription with its timer. */
    private final class Timed extends RelaySubscriber<byte[], byte[]> {
        private final Runnable shutdownListener = () -> expire("stream still in progress when the process ends");
        private ScheduledFuture<?> timer;
        private boolean isEnded;

        private Timed(CoreSubscriber<? super byte[]> actual) {
            super(actual);
        }

        @Override
        public void onSubscribe(Subscription subscription) {
            timer = loop.schedule(
                    () -> expire("stream still in progress at the deadline"), delayMillis, TimeUnit.MILLISECONDS);
            super.onSubscribe(subscription);
            if (!isEnded) {
                shutdown.addListener(shutdownListener);
            }
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

        private void expire(String reason) {
            if (end()) {
                upstream().cancel();
                actual().onError(new StreamTimeoutException(reason));
            }
        }

        /** Returns whether the stream had not ended before. */
        private boolean end() {
            boolean isFirst = !isEnded;
            isEnded = true;
            timer.cancel(false);
            shutdown.removeListener(shutdownListener);
            return isFirst;
        }
    }
}
