package org.dotterelcourse.gateway.forward;

import java.util.List;
import java.util.OptionalDouble;

/**
 * What a worker states about itself in the headers of a response. The values are as sent by the worker: decoded, but not
 * checked against the request.
 *
 * @param mentionsRequestLimit whether the response has a request limit, valid or not; only a response without one can
 *     end an earlier limit
 * @param requestLimitPerSecond requests per second that the worker accepts from all router processes together, not
 *     negative; empty if it sets no limit
 * @param backoffMillis how long the worker wants no requests from this process, in milliseconds; 0 if it does not ask for
 *     that
 * @param leaving whether the worker is shutting down and takes no new requests
 * @param mentionsBrittleness whether the response states, validly or not, that the worker is brittle; only a response
 *     without such a statement can end an earlier one
 * @param maxRejectionsPerSecond rejections per second for want of room above which the worker crashes, not negative; empty
 *     if it is not brittle
 * @param ignored values that are not valid or not allowed in this response, and that have no effect
 */
public record WorkerStatement(
        boolean mentionsRequestLimit,
        OptionalDouble requestLimitPerSecond,
        long backoffMillis,
        boolean leaving,
        boolean mentionsBrittleness,
        OptionalDouble maxRejectionsPerSecond,
        List<IgnoredValue> ignored) {
    /**
     * A header value that has no effect.
     *
     * @param header the name of the header
     * @param value the value as sent by the worker
     * @param reason why it is ignored
     */
    public record IgnoredValue(String header, String value, String reason) {}
}
