package org.dotterelcourse.gateway.forward;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import reactor.core.CoreSubscriber;
import reactor.core.publisher.Flux;
import reactor.core.publisher.FluxOperator;
import reactor.core.publisher.Operators;

/**
 * The body of a worker's response as byte arrays. Closes the connection at the end, unless it may be used for another
 * request: if the body is complete and the response a success. Errors become {@link WorkerConnectionException}s.
 *
 * <p>One buffer at a time is requested, and only if the memory of all responses has room for it, however many its receiver
 * asks for.
 */
final class ResponseBody extends FluxOperator<ByteBuf, byte[]> {
    private final boolean isReusable;
    private final ResponseMemory.Share share;
    private final Runnable close;

    /**
     * Creates the body.
     *
     * @param content the buffers, which the publisher releases
     * @param isReusable whether the connection may be used again after a complete body
     * @param share decides when the next buffer is read; the receiver records in it what it holds
     * @param close closes the connection
     */
    ResponseBody(Flux<ByteBuf> content, boolean isReusable, ResponseMemory.Share share, Runnable close) {
        super(content);
        this.isReusable = isReusable;
        this.share = share;
        this.close = close;
    }

    @Override
    public void subscribe(CoreSubscriber<? super byte[]> actual) {
        source.subscribe(new Receiver(actual));
    }

    /** The subscription to the body. */
    private final class Receiver extends RelaySubscriber<ByteBuf, byte[]> {
        private long demand;
        private boolean isReading;
        private boolean isComplete;
        private boolean isEnded;

        private Receiver(CoreSubscriber<? super byte[]> actual) {
            super(actual);
        }

        @Override
        public void request(long count) {
            demand = Operators.addCap(demand, count);
            readNext();
        }

        private void readNext() {
            if (demand > 0 && !isReading && !isEnded) {
                isReading = true;
                share.whenReadable(() -> upstream().request(1));
            }
        }

        @Override
        public void onNext(ByteBuf buffer) {
            isReading = false;
            if (demand != Long.MAX_VALUE) {
                demand--;
            }
            actual().onNext(ByteBufUtil.getBytes(buffer));
            readNext();
        }

        @Override
        public void onError(Throwable error) {
            actual().onError(new WorkerConnectionException(true, error));
            end();
        }

        @Override
        public void onComplete() {
            // A client that closes its connection right after the response cancels the subscription before the final
            // signal returns; the body is complete nevertheless.
            isComplete = true;
            actual().onComplete();
            end();
        }

        @Override
        public void cancel() {
            upstream().cancel();
            end();
        }

        private void end() {
            if (!isEnded) {
                isEnded = true;
                share.endReading();
                if (!isComplete || !isReusable) {
                    close.run();
                }
            }
        }
    }
}
