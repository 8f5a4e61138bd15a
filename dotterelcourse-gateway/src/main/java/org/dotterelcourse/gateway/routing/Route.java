package org.dotterelcourse.gateway.routing;

import java.util.List;
import java.util.Objects;

/**
 * A rule that maps requests for one host and path prefix to upstreams, with their latency targets and retry policy.
 *
 * @param name its name
 * @param host the host that it matches, in lower case and without a port
 * @param pathPrefix the path prefix that it matches; begins and ends with a slash
 * @param kind how responses are sent and whether requests may be retried
 * @param timeoutMillis time limit in milliseconds for the complete response to a request, retries included
 * @param targetMillis latency target in milliseconds; for streams, until the first event
 * @param gapTargetMillis longest gap between two events in milliseconds with which a stream meets its target, 0 for
 *     other kinds
 * @param priority urgency of the requests, 0 the highest; takes precedence over the priority of the customer
 * @param upstreams the upstreams and their weights
 * @param maxAttempts largest number of workers to which one request may be sent
 * @param anonymous whether requests need no API key
 * @param resumable whether an interrupted stream may be resumed at another worker
 */
public record Route(
        String name,
        String host,
        String pathPrefix,
        RequestKind kind,
        long timeoutMillis,
        long targetMillis,
        long gapTargetMillis,
        int priority,
        List<UpstreamShare> upstreams,
        int maxAttempts,
        boolean anonymous,
        boolean resumable) {
    /**
     * An upstream's share of a route's requests.
     *
     * @param upstream name of the upstream
     * @param weight its share, relative to the sum of the weights of the route
     */
    public record UpstreamShare(String upstream, int weight) {}

    /**
     * Returns whether a request may be retried when a worker may have executed it already.
     *
     * @return true for idempotent requests and resumable streams
     */
    public boolean isRetryable() {
        return kind == RequestKind.IDEMPOTENT || isStreaming() && resumable;
    }

    /**
     * Returns whether responses are streams of events.
     *
     * @return true for {@link RequestKind#STREAMING}
     */
    public boolean isStreaming() {
        return kind == RequestKind.STREAMING;
    }

    /**
     * Chooses the upstream for a request by hashing its id, in proportion to the weights.
     *
     * @param requestId id of the request; equal ids yield the same upstream
     * @return name of the upstream
     */
    public String upstreamFor(String requestId) {
        int total = upstreams.stream().mapToInt(UpstreamShare::weight).sum();
        if (total <= 0) {
            return upstreams.get(0).upstream();
        }
        int point = Math.floorMod(Objects.hash(requestId, name), total);
        for (UpstreamShare share : upstreams) {
            point -= share.weight();
            if (point < 0) {
                return share.upstream();
            }
        }
        return upstreams.get(upstreams.size() - 1).upstream();
    }
}
