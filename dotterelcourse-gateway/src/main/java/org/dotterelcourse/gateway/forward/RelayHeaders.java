package org.dotterelcourse.gateway.forward;

import java.util.List;

import io.netty.handler.codec.http.HttpHeaders;

/** Headers of relayed requests, and of a peer's response to them in addition to those of the worker's response. */
public final class RelayHeaders {
    /** Path of relayed requests. */
    public static final String PATH = "/relay";

    /**
     * Id of a relayed request, repeated in its response; absent in those of earlier releases. A client's request that is
     * relayed to the same peer twice has two of them.
     */
    public static final String ID = "Relay-Id";

    /** One of the values below. A response without it was not sent by a peer that relays requests. */
    public static final String OUTCOME = "Relay-Outcome";

    /** Status, headers and body are those of a worker. */
    public static final String RESPONDED = "responded";

    /** No worker has executed the request or will. */
    public static final String NOT_EXECUTED = "not-executed";

    /** A worker may have executed the request. */
    public static final String UNKNOWN = "unknown";

    /** Id of the worker that the request was last sent to; absent if it was sent to none. */
    public static final String WORKER = "Relay-Worker";

    /** Software version of that worker; absent if it is unknown, and in responses of earlier releases. */
    public static final String VERSION = "Relay-Version";

    /** Number of workers that the request was sent to. */
    public static final String SENDS = "Relay-Sends";

    /** Why no worker's response is passed on. */
    public static final String REASON = "Relay-Reason";

    /** Time in milliseconds after which a request that was not executed should be retried. */
    public static final String RETRY_MILLIS = "Relay-Retry-Millis";

    private static final List<String> ALL = List.of(ID, OUTCOME, WORKER, VERSION, SENDS, REASON, RETRY_MILLIS);

    private RelayHeaders() {}

    /**
     * Removes the headers of a peer's response.
     *
     * @param headers the response headers, which are changed
     */
    public static void removeFrom(HttpHeaders headers) {
        ALL.forEach(headers::remove);
    }
}
