package org.dotterelcourse.gateway.forward;

import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import java.util.function.UnaryOperator;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import org.dotterelcourse.daemon.http.exchange.ResponseFault;
import org.dotterelcourse.daemon.http.exchange.ResponseFault.Kind;
import org.dotterelcourse.daemon.http.exchange.ResponseFaultListener;
import org.jboss.logging.Logger;

/**
 * Counts and logs violations of the framing of responses. A faulty server may cause one with every request, so each server
 * and kind is logged at most once per interval, and all servers together a limited number of times, with the number of
 * violations since the last line that were not logged. Used on the event loop only.
 */
final class ResponseFaultLog implements ResponseFaultListener {
    /** Largest number of lines per interval about all servers together. */
    static final int MAX_LINES = 50;

    private static final Logger LOG = Logger.getLogger(ResponseFaultLog.class);

    private static final long INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(10);

    /** Limits memory; the source logged the longest ago is removed first, and is then logged again at once. */
    private static final int MAX_SOURCES = 1_000;

    private static final int MAX_ID_LENGTH = 60;

    private final Map<Kind, Counter> counters = new EnumMap<>(Kind.class);
    private final Map<Source, Entry> entries = new LinkedHashMap<>();
    private final UnaryOperator<String> serverNames;
    private final LongSupplier nanoClock;
    private long windowBeginNanos;
    private int windowLines;
    private long suppressed;

    private record Source(SocketAddress server, Kind kind) {}

    private record Entry(long loggedNanos, int suppressed) {}

    /**
     * Creates a log.
     *
     * @param metrics where the counters are registered
     * @param prefix of the names of the counters, with a dot at its end
     * @param serverNames returns the name of the server with an IP address and port, such as "worker i-1"
     * @param nanoClock returns the monotonic time in nanoseconds
     */
    ResponseFaultLog(MetricRegistry metrics, String prefix, UnaryOperator<String> serverNames, LongSupplier nanoClock) {
        this.serverNames = serverNames;
        this.nanoClock = nanoClock;
        this.windowBeginNanos = nanoClock.getAsLong();
        for (Kind kind : Kind.values()) {
            counters.put(
                    kind,
                    metrics.counter(
                            prefix + kind.name().toLowerCase(Locale.ROOT).replace('_', '-')));
        }
    }

    @Override
    public void onFault(ResponseFault fault) {
        counters.get(fault.kind()).inc();
        long nowNanos = nanoClock.getAsLong();
        if (nowNanos - windowBeginNanos >= INTERVAL_NANOS) {
            windowBeginNanos = nowNanos;
            windowLines = 0;
        }
        Source source = new Source(fault.server(), fault.kind());
        Entry entry = entries.get(source);
        boolean isRecent = entry != null && nowNanos - entry.loggedNanos() < INTERVAL_NANOS;
        if (isRecent || windowLines >= MAX_LINES) {
            suppressed++;
            if (entry != null) {
                entries.put(source, new Entry(entry.loggedNanos(), entry.suppressed() + 1));
            }
            return;
        }
        entries.remove(source);
        if (entries.size() >= MAX_SOURCES) {
            entries.remove(entries.keySet().iterator().next());
        }
        entries.put(source, new Entry(nowNanos, 0));
        windowLines++;
        log(fault, entry == null ? 0 : entry.suppressed());
        suppressed = 0;
    }

    private void log(ResponseFault fault, int suppressedOfSource) {
        String address = describe(fault.server());
        LOG.logf(
                fault.kind() == Kind.TRUNCATED_RESPONSE ? Logger.Level.INFO : Logger.Level.WARN,
                "%s at %s %s (%s) in exchange %d of a connection; %s; %s; not logged: %d more of this kind from there"
                        + " since its last line, %d of all since the last line of any",
                serverNames.apply(address),
                address,
                describe(fault.kind()),
                fault.detail(),
                fault.exchange(),
                describeRequest(fault),
                describeAction(fault),
                suppressedOfSource,
                suppressed);
    }

    /** Returns an address as IP address and port, separated by a colon. */
    static String describe(SocketAddress server) {
        return server instanceof InetSocketAddress address && !address.isUnresolved()
                ? address.getAddress().getHostAddress() + ":" + address.getPort()
                : String.valueOf(server);
    }

    private static String describe(Kind kind) {
        return switch (kind) {
            case INVALID_HEAD -> "sent a head that can't be decoded";
            case JOINED_HEADS -> "sent two response heads in one";
            case UNKNOWN_FRAMING -> "sent a response whose end can't be known";
            case INVALID_BODY -> "sent a body with invalid framing";
            case FOREIGN_RESPONSE -> "sent a response that is not for the request in flight";
            case UNSOLICITED_DATA -> "sent data while no request was in flight";
            case TRUNCATED_RESPONSE -> "has not completed a response";
        };
    }

    private static String describeRequest(ResponseFault fault) {
        String id = fault.requestId();
        String shortId = id.length() <= MAX_ID_LENGTH ? id : id.substring(0, MAX_ID_LENGTH) + "...";
        return fault.isInFlight()
                ? "request '" + shortId + "' was in flight"
                : "no request was in flight, the last one was '" + shortId + "'";
    }

    private static String describeAction(ResponseFault fault) {
        if (fault.kind() == Kind.TRUNCATED_RESPONSE) {
            return "the request fails and may have been executed";
        }
        String action;
        if (fault.isSkipped()) {
            action = "the response is skipped and the next one awaited";
        } else if (fault.isInFlight()) {
            action = "the connection is closed, the request fails and may have been executed";
        } else {
            action = "the connection is closed";
        }
        return action + "; its connections are not reused for "
                + TimeUnit.NANOSECONDS.toSeconds(ReuseRestrictions.DURATION_NANOS) + " s";
    }
}
