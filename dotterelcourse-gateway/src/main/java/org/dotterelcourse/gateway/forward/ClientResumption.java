package org.dotterelcourse.gateway.forward;

import java.time.Duration;
import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import org.dotterelcourse.gateway.GatewayLoop;
import org.dotterelcourse.gateway.GatewayState;
import org.dotterelcourse.policy.resumption.KeptPartEvidence;
import org.dotterelcourse.policy.resumption.StreamKey;
import org.dotterelcourse.policy.resumption.StreamVersionNotice;
import org.dotterelcourse.policy.resumption.StreamVersionProof;
import org.dotterelcourse.policy.selection.Prompt;
import org.jboss.logging.Logger;
import reactor.core.publisher.Mono;

/**
 * Determines at which software version a stream goes on that a client resumes, possibly at another process than the one that
 * began it. Peers are told the version of a stream when its request goes to a worker, unless the upstream has had a single
 * version for longer than any stream lasts; then that is the version of all streams. After a loss of all processes, workers
 * are asked which of them keep the stream's prompt. Without a proof, the request is rejected.
 */
final class ClientResumption {
    private static final Logger LOG = Logger.getLogger(ClientResumption.class);

    /** By then, answers of peers that were late have arrived, or another process is asked. */
    private static final long RETRY_AFTER_UNKNOWN_MILLIS = 500;

    /** Shortest time between two questions to peers; a router that has just started finds its peers meanwhile. */
    private static final long MIN_SURVEY_MILLIS = 250;

    /** Longer than a sound worker may be silent, and shorter than the time after which clients leave. */
    private static final long MAX_SURVEY_MILLIS = 1_500;

    /** With less time, the client's next attempt has a better chance. */
    private static final long MIN_REMAINING_MILLIS = 1_000;

    private static final long NANOS_PER_MILLI = 1_000_000L;

    private final GatewayLoop loop;
    private final GatewayState state;
    private final Counter resumed;
    private final Counter asked;
    private final Counter unknown;
    private final Map<StreamVersionProof.Kind, Counter> byProof = new EnumMap<>(StreamVersionProof.Kind.class);
    private StreamVersionPeers peers = StreamVersionPeers.NONE;

    ClientResumption(GatewayLoop loop, GatewayState state, MetricRegistry metrics) {
        this.loop = loop;
        this.state = state;
        this.resumed = metrics.counter("gateway.resumption.requests");
        this.asked = metrics.counter("gateway.resumption.asked");
        this.unknown = metrics.counter("gateway.resumption.unknown");
        for (StreamVersionProof.Kind kind : StreamVersionProof.Kind.values()) {
            byProof.put(
                    kind,
                    metrics.counter("gateway.resumption.by-"
                            + kind.name().toLowerCase(Locale.ROOT).replace('_', '-')));
        }
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
        return find(call, resumes.get()).map(finding -> {
            Optional<StreamVersionProof> proof = finding.proof();
            if (proof.isEmpty() || proof.get().version().isEmpty()) {
                unknown.inc();
                return Optional.of(new Reply.Local(
                        LocalReply.notExecuted(reason(call, resumes.get(), finding), RETRY_AFTER_UNKNOWN_MILLIS)));
            }
            byProof.get(proof.get().kind()).inc();
            if (proof.get().kind() == StreamVersionProof.Kind.KEPT_PART) {
                LOG.infof(
                        "request %s goes on with a stream at version %s: only its workers keep the stream's prompt",
                        call.attributes().id(), proof.get().version());
            }
            call.requireVersion(proof.get().version());
            return Optional.empty();
        });
    }

    private Mono<Finding> find(Call call, String resumedId) {
        String upstream = call.attributes().upstream().name();
        StreamKey stream = resumedId.isEmpty()
                ? StreamKey.NONE
                : StreamKey.of(call.attributes().customer(), upstream, resumedId);
        Optional<StreamVersionProof> recorded = state.streamVersions()
                .find(stream)
                .map(notice -> new StreamVersionProof(notice.version(), StreamVersionProof.Kind.RECORD));
        if (recorded.isPresent()) {
            return Mono.just(new Finding(recorded));
        }
        long nowNanos = loop.nowNanos();
        long catchUpMillis = state.versionHistory(nowNanos).catchUpNanos(nowNanos) / NANOS_PER_MILLI;
        if (catchUpMillis > 0 && call.remainingMillis(nowNanos) - catchUpMillis > MIN_REMAINING_MILLIS) {
            return Mono.delay(Duration.ofMillis(catchUpMillis + 1), loop.scheduler())
                    .then(Mono.defer(() -> find(call, resumedId)));
        }
        asked.inc();
        return ask(stream, upstream)
                .flatMap(proof -> proof.isPresent() ? Mono.just(proof) : confirmOnlyVersion(upstream))
                .flatMap(proof -> proof.isPresent() ? Mono.just(new Finding(proof)) : survey(call, stream));
    }

    /** Asks peers. That a peer has seen a single version proves nothing if this process has seen another one. */
    private Mono<Optional<StreamVersionProof>> ask(StreamKey stream, String upstream) {
        return peers.ask(stream, upstream)
                .map(proof -> proof.filter(
                        each -> each.kind() != StreamVersionProof.Kind.ONLY_VERSION || isOnlySeen(each, upstream)));
    }

    private boolean isOnlySeen(StreamVersionProof proof, String upstream) {
        long nowNanos = loop.nowNanos();
        return state.versionHistory(nowNanos)
                .onlySeenVersion(upstream, state.streamLifetimeNanos(), nowNanos)
                .filter(proof.version()::equals)
                .isPresent();
    }

    /**
     * Returns the only version that this process has observed, if the store confirms that there is no other by now. A process
     * that is cut off, or was a moment ago, does not know of workers that have joined, nor of the streams that began there.
     */
    private Mono<Optional<StreamVersionProof>> confirmOnlyVersion(String upstream) {
        return onlyVersion(upstream).isEmpty()
                ? Mono.just(Optional.empty())
                : peers.confirmPublished().map(isConfirmed -> isConfirmed ? onlyVersion(upstream) : Optional.empty());
    }

    private Optional<StreamVersionProof> onlyVersion(String upstream) {
        long nowNanos = loop.nowNanos();
        return state.versionHistory(nowNanos)
                .onlyVersion(upstream, state.streamLifetimeNanos(), nowNanos)
                .map(version -> new StreamVersionProof(version, StreamVersionProof.Kind.ONLY_VERSION));
    }

    /** What is known of a stream's version: a proof, or what the survey of the workers has shown in place of one. */
    private record Finding(Optional<StreamVersionProof> proof, Optional<KeptPartEvidence.Outcome> evidence) {
        private Finding(Optional<StreamVersionProof> proof) {
            this(proof, Optional.empty());
        }

        private static Finding of(KeptPartEvidence.Verdict verdict) {
            return verdict.outcome() == KeptPartEvidence.Outcome.PROVEN
                    ? new Finding(
                            Optional.of(new StreamVersionProof(verdict.version(), StreamVersionProof.Kind.KEPT_PART)))
                    : new Finding(Optional.empty(), Optional.of(verdict.outcome()));
        }
    }

    /** Reads what workers keep, unless there is too little time, and asks peers again, whose records are better proofs. */
    private Mono<Finding> survey(Call call, StreamKey stream) {
        String upstream = call.attributes().upstream().name();
        StreamKey part = ownPart(call, upstream);
        if (part.equals(StreamKey.NONE) || call.remainingMillis(loop.nowNanos()) < MIN_REMAINING_MILLIS) {
            return Mono.just(new Finding(Optional.empty()));
        }
        return Mono.delay(Duration.ofMillis(MIN_SURVEY_MILLIS), loop.scheduler())
                .zipWith(peers.surveyPart(part, upstream, MAX_SURVEY_MILLIS), (delay, verdict) -> Finding.of(verdict))
                .flatMap(finding ->
                        ask(stream, upstream).map(proof -> proof.isPresent() ? new Finding(proof) : finding));
    }

    /** Returns the key of the part of the prompt that belongs to the request alone, or to its session. */
    private static StreamKey ownPart(Call call, String upstream) {
        return call.attributes()
                .prompt()
                .map(Prompt::parts)
                .filter(parts -> !parts.isEmpty())
                .map(parts ->
                        StreamKey.ofPart(upstream, parts.get(parts.size() - 1).id()))
                .orElse(StreamKey.NONE);
    }

    private static String reason(Call call, String resumedId, Finding finding) {
        if (finding.proof().isPresent()) {
            return "the resumed stream began at a worker of unknown software version";
        }
        switch (finding.evidence().orElse(KeptPartEvidence.Outcome.NOT_KEPT)) {
            case SEVERAL_VERSIONS:
                return "workers of several software versions keep the prompt of the resumed stream";
            case WORKERS_GONE:
                return "workers of another software version that may have begun the resumed stream are gone";
            case INCOMPLETE:
                return "not all workers that may have begun the resumed stream tell what they keep";
            default:
                break;
        }
        return resumedId.isEmpty()
                ? "the request resumes a stream without naming it, and no worker's version is known to have begun it at "
                        + call.attributes().upstream().name()
                : "the software version of the resumed stream is not known here, to peers or by what workers keep";
    }
}
