package org.dotterelcourse.gateway.fleet;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import org.dotterelcourse.gateway.workers.Workers;

/** Counts load reports and selections of workers, the router's control work that grows with the fleet. */
final class ExchangeMetrics {
    private static final String PREFIX = "gateway.efficiency.";

    private final Counter sent;
    private final Counter sentBytes;
    private final Counter received;
    private final Counter receivedBytes;
    private final Counter unchanged;

    ExchangeMetrics(MetricRegistry registry, Workers workers) {
        sent = registry.counter(PREFIX + "reports-sent");
        sentBytes = registry.counter(PREFIX + "report-bytes-sent");
        received = registry.counter(PREFIX + "reports-received");
        receivedBytes = registry.counter(PREFIX + "report-bytes-received");
        unchanged = registry.counter(PREFIX + "reports-unchanged");
        registry.register(PREFIX + "selections", (Gauge<Long>) workers.counters()::selections);
        registry.register(PREFIX + "worker-index-rebuilds", (Gauge<Long>) workers.counters()::indexRebuilds);
    }

    void recordSent(int bytes) {
        sent.inc();
        sentBytes.inc(bytes);
    }

    void recordReceived(int bytes) {
        received.inc();
        receivedBytes.inc(bytes);
    }

    /** Records a period in which a group of receivers got no report because there was nothing new. */
    void recordUnchanged() {
        unchanged.inc();
    }
}
