package org.dotterelcourse.gateway.forward;

import java.util.Optional;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import org.dotterelcourse.gateway.GatewayLoop;
import org.dotterelcourse.gateway.GatewayState;
import org.dotterelcourse.policy.resumption.StreamKey;
import org.dotterelcourse.policy.resumption.StreamVersionNotice;
import org.dotterelcourse.policy.resumption.VersionHistory;
import reactor.core.publisher.Mono;

/**
 * Determines at which software version a stream goes on that a client resumes, possibly at another process than the one that
 * began it. Peers are told the version of a stream when its request goes to a worker, unless the upstream has had a single
 * version for longer than any stream lasts; then that is the version of all streams.
 */
final class ClientResumption {
    /** By then, answers of peers that were late have arrived, or another process is asked. */
    private static final long RETRY_AFTER_UNKNOWN_MILLIS = 500;

    private final GatewayLoop loop;
    private final GatewayState state;
    private final Counter resumed;
    private final Counter asked;
    private final Counter unknown;
    private StreamVersionPeers peers = StreamVersionPeers.NONE;

    ClientResumption(GatewayLoop loop, GatewayState state, MetricRegistry metrics) {
        this.loop = loop;
        this.state = state;
        this.resumed = metrics.counter("gateway.resumption.requests");
        this.asked = metrics.counter("gateway.resumption.asked");
        this.unknown = metrics.counter("gateway.resumption.unknown");
    }

    void setPeers(StreamVersionPeers value) {
        peers = value;
    }

    /** Records the version of a stream that the client may resume, when its request goes to a worker. */
    void recordSend(Call call) {
        Call.Attributes attributes = call.attributes();
        if (!attributes.route().isStreaming() || !attributes.route().resumable() || call.isForPeer()) {
            return;
        }
        long nowNanos = loop.nowNanos();
        String upstream = attributes.upstream().name();
        StreamVersionNotice notice = new StreamVersionNotice(
                StreamKey.of(attributes.customer(), upstream, attributes.id()),
                call.versions().attemptVersion(),
                call.versions().attempts());
        state.streamVersions().record(notice, nowNanos);
        peers.announce(upstream, notice);
    }

    /**
     * Binds a call that resumes a stream to the stream's software version.
     *
     * @return the reply to a call whose stream's version is not known; empty if the call may be sent
     */
    Mono<Optional<Reply>> bind(Call call) {
        Optional<String> resumes = call.attributes().resumes();
        if (resumes.isEmpty()) {
            return Mono.just(Optional.empty());
        }
        resumed.inc();
        return find(call, resumes.get()).map(version -> {
            if (version.isEmpty() || version.get().isEmpty()) {
                unknown.inc();
                return Optional.of(new Reply.Local(
                        LocalReply.notExecuted(reason(call, resumes.get(), version), RETRY_AFTER_UNKNOWN_MILLIS)));
            }
            call.requireVersion(version.get());
            return Optional.empty();
        });
    }

    private Mono<Optional<String>> find(Call call, String resumedId) {
        String upstream = call.attributes().upstream().name();
        VersionHistory history = state.workers().versionHistory();
        long nowNanos = loop.nowNanos();
        long lifetimeNanos = state.streamLifetimeNanos();
        if (resumedId.isEmpty()) {
            // Clients that do not name the stream predate upstreams of several versions.
            return Mono.just(history.onlySeenVersion(upstream, lifetimeNanos, nowNanos));
        }
        StreamKey stream = StreamKey.of(call.attributes().customer(), upstream, resumedId);
        Optional<String> recorded = state.streamVersions().find(stream).map(StreamVersionNotice::version);
        if (recorded.isPresent()) {
            return Mono.just(recorded);
        }
        Optional<String> only = history.onlyVersion(upstream, lifetimeNanos, nowNanos);
        if (only.isPresent()) {
            return Mono.just(only);
        }
        asked.inc();
        return peers.ask(stream, upstream);
    }

    private static String reason(Call call, String resumedId, Optional<String> version) {
        if (resumedId.isEmpty()) {
            return "the request resumes a stream without naming it, and workers of several software versions serve "
                    + call.attributes().upstream().name();
        }
        return version.isPresent()
                ? "the resumed stream began at a worker of unknown software version"
                : "the software version of the resumed stream is not known here or to peers";
    }
}
