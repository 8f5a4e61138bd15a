package org.dotterelcourse.daemon.http;

import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.LongAdder;

import org.dotterelcourse.daemon.http.exchange.ExchangeCodec;
import org.dotterelcourse.daemon.http.exchange.ResponseFault;
import org.dotterelcourse.daemon.http.exchange.ResponseMatcher;
import org.jboss.logging.Logger;
import reactor.netty.http.client.HttpClient;

/**
 * Configures HTTP clients so that each call has an id, and gets only a response that repeats it. A response without an id is
 * accepted as the first on its connection, which is then closed.
 */
public final class IdentifiedCalls {
    private static final Logger LOG = Logger.getLogger(IdentifiedCalls.class);
    private static final ResponseMatcher MATCHER = new RequestIdMatcher();

    /** Distinguishes the ids of this process from those of others, and of its earlier starts. */
    private static final String ID_PREFIX =
            Long.toHexString(ThreadLocalRandom.current().nextLong()) + "-";

    private static final AtomicLong SEQUENCE = new AtomicLong();
    private static final long LOG_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(1);
    private static final AtomicLong NEXT_LOG_NANOS = new AtomicLong(System.nanoTime());
    private static final LongAdder SUPPRESSED = new LongAdder();

    private IdentifiedCalls() {}

    /**
     * Configures a client. A call that has no {@code X-Request-Id} gets one.
     *
     * @param client the client
     * @return the configured client
     */
    public static HttpClient configure(HttpClient client) {
        return client.doOnChannelInit(
                        (observer, channel, address) -> ExchangeCodec.install(channel, MATCHER, IdentifiedCalls::log))
                .doOnRequest((request, connection) -> {
                    if (!request.requestHeaders().contains(RequestIdMatcher.HEADER)) {
                        request.header(RequestIdMatcher.HEADER, ID_PREFIX + SEQUENCE.incrementAndGet());
                    }
                });
    }

    /** Logs a fault, since a faulty server may cause one with each call, at most once per interval. */
    private static void log(ResponseFault fault) {
        long nowNanos = System.nanoTime();
        long nextNanos = NEXT_LOG_NANOS.get();
        if (nowNanos - nextNanos < 0 || !NEXT_LOG_NANOS.compareAndSet(nextNanos, nowNanos + LOG_INTERVAL_NANOS)) {
            SUPPRESSED.increment();
            return;
        }
        LOG.warnf(
                "%s from %s, %s; request '%s' %s, %d requests on the connection; %s; %d more were not logged",
                fault.kind(),
                fault.server(),
                fault.detail(),
                fault.requestId(),
                fault.isInFlight() ? "is in flight" : "has ended",
                fault.exchange(),
                fault.isSkipped() ? "it is skipped" : "the connection is closed",
                SUPPRESSED.sumThenReset());
    }
}
