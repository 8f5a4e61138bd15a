package org.dotterelcourse.gateway.forward;

import java.net.SocketAddress;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import org.dotterelcourse.daemon.http.exchange.ResponseFault;

/**
 * Servers whose connections are not reused, because they have recently sent data that was not the response to the request in
 * flight. On a new connection, nothing can be left over from an earlier request.
 */
final class ReuseRestrictions {
    /** Responses of a server are known to be late by seconds; a handshake per request costs little meanwhile. */
    static final long DURATION_NANOS = TimeUnit.SECONDS.toNanos(10);

    private final Map<SocketAddress, Long> endNanosByServer = new HashMap<>();

    /** Restricts the server of a violation, unless its connection only ended early, as that of a crashed server does. */
    void record(ResponseFault fault, long nowNanos) {
        if (fault.kind() != ResponseFault.Kind.TRUNCATED_RESPONSE) {
            endNanosByServer.values().removeIf(endNanos -> endNanos - nowNanos <= 0);
            endNanosByServer.put(fault.server(), nowNanos + DURATION_NANOS);
        }
    }

    boolean contains(SocketAddress server, long nowNanos) {
        if (endNanosByServer.isEmpty()) {
            return false;
        }
        Long endNanos = endNanosByServer.get(server);
        return endNanos != null && endNanos - nowNanos > 0;
    }
}
