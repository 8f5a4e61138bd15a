package org.dotterelcourse.gateway.routing;

import java.util.List;
import java.util.Objects;

/**
 * Where requests of one host and path go, and what they are promised.
 *
 * @param name its name
 * @param host the host that it is for, in lower case and without a port
 * @param pathPrefix the paths that it is for; begins and ends with a slash
 * @param kind what may be repeated
 * @param timeoutMillis the longest time until a request has its final answer
 * @param targetMillis the latency target; of streams, until the first event
 * @param gapTargetMillis the longest pause between events for which a stream is on time, 0 for other kinds
 * @param priority urgency, 0 the highest; it goes before the customers'
 * @param upstreams upstreams with their shares of the requests
 * @param maxAttempts to how many workers one request may be sent
 * @param anonymous whether requests need no key
 * @param resumable whether a stream that broke may go on at another worker
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
     * @param upstream its name
     * @param weight its share beside the other weights of the route
     */
    public record UpstreamShare(String upstream, int weight) {}

    /**
     * Whether a request may run again after it may have run.
     *
     * @return true for idempotent requests and streams that may be resumed
     */
    public boolean isRetryable() {
        return kind == RequestKind.IDEMPOTENT || isStreaming() && resumable;
    }

    /**
     * Whether the answer is a series of events.
     *
     * @return true for streams
     */
    public boolean isStreaming() {
        return kind == RequestKind.STREAMING;
    }

    /**
     * The upstream for one request, by weight.
     *
     * @param requestId the same id goes to the same upstream
     * @return the upstream's name
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
