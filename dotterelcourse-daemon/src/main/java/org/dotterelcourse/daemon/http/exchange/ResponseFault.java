package org.dotterelcourse.daemon.http.exchange;

import java.net.SocketAddress;

/**
 * A violation of the framing of responses on a client connection.
 *
 * @param kind what was received
 * @param server the address of the server
 * @param requestId the id of the request in flight, or of the last one if none is; empty if there is none
 * @param exchange the number of requests sent on the connection so far
 * @param isInFlight whether a request awaited its response
 * @param isSkipped whether the received message is skipped, and the response awaited on the same connection
 * @param detail what was received, for the log; without content of the response
 */
public record ResponseFault(
        Kind kind,
        SocketAddress server,
        String requestId,
        int exchange,
        boolean isInFlight,
        boolean isSkipped,
        String detail) {
    /** Kinds of violations. */
    public enum Kind {
        /** The bytes are not the head of an HTTP/1.x response with a status of 100 to 599. */
        INVALID_HEAD,

        /** The head does not show where the body ends: a transfer coding other than one "chunked", or one beside a length. */
        UNKNOWN_FRAMING,

        /** A head contains a second status line, or states several times what can be stated once. */
        JOINED_HEADS,

        /** The framing of a body is not valid, for example because another response begins in it. */
        INVALID_BODY,

        /** A response has the id of another request. */
        FOREIGN_RESPONSE,

        /** Data arrived while no request was in flight. */
        UNSOLICITED_DATA,

        /** The connection ended after the beginning of a response. */
        TRUNCATED_RESPONSE
    }
}
