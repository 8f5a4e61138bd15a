package org.dotterelcourse.gateway.forward;

import java.util.List;
import java.util.Optional;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import org.dotterelcourse.gateway.GatewayLoop;
import org.dotterelcourse.gateway.GatewayState;
import org.dotterelcourse.gateway.workers.Placement;
import org.dotterelcourse.gateway.workers.WorkerEntry;
import org.dotterelcourse.gateway.workers.WorkerState;
import reactor.core.publisher.Mono;

/**
 * Decides which attempts are relayed to a peer, and relays them. The peer makes a single attempt; retries, their budget
 * and the deadline remain with this process.
 */
final class RelayAttempts {
    /** Workers that must have refused a request before it is relayed, if this process is not known to be cut off. */
    private static final int REFUSALS_BEFORE_RELAY = 2;

    /** Peers that may refuse one request before it is rejected. If half of all are cut off, one in 64 requests finds no other. */
    private static final int MAX_PEERS = 6;

    private final Reachability reachability;
    private final RelayClient client;
    private final Counter relayed;
    private final Counter failed;
    private Optional<RelayPeers> peers = Optional.empty();

    RelayAttempts(GatewayLoop loop, Reachability reachability, ResponseMemory memory, MetricRegistry metrics) {
        this.reachability = reachability;
        this.client = new RelayClient(loop, memory, metrics);
        this.relayed = metrics.counter("gateway.relay.sent");
        this.failed = metrics.counter("gateway.relay.failed");
    }

    void setPeers(RelayPeers value) {
        peers = Optional.of(value);
        client.setSelf(value.self());
    }

    /** Returns the peer to which the next attempt of a call is relayed; empty if it is sent to a worker. */
    Optional<RelayTarget> target(Call call) {
        if (call.isForPeer() || peers.isEmpty() || call.failedPeers().size() >= MAX_PEERS) {
            return Optional.empty();
        }
        boolean isNeeded = reachability.isCutOff()
                || call.connectFailureCount() >= REFUSALS_BEFORE_RELAY
                        && reachability
                                .links()
                                .isReachedByPeers(call.attributes().upstream().name());
        return isNeeded ? peers.get().select(call.failedPeers()) : Optional.empty();
    }

    Mono<RelayResult> send(Call call, RelayTarget peer) {
        List<String> excluded =
                reachability.links().excluded(call.attributes().upstream().name(), call.versions()::accepts);
        return Mono.defer(() -> {
            relayed.inc();
            peers.ifPresent(each -> each.recordBegin(peer.name()));
            return client.send(call, peer, excluded)
                    .doFinally(signal -> peers.ifPresent(each -> each.recordEnd(peer.name())));
        });
    }

    /** Returns a placement for the worker that a peer has used. This process does not count it, since the peer does. */
    Placement placement(Call call, GatewayState state, long nowNanos) {
        WorkerEntry entry = state.workers()
                .find(call.lastWorkerId())
                .map(WorkerState::entry)
                .orElseGet(() -> new WorkerEntry(
                        call.lastWorkerId(), 0, call.attributes().upstream().name(), "", 0, "", 0, false, 0, ""));
        return Placement.atPeer(entry, nowNanos);
    }

    /**
     * Determines the software version of the worker that a peer has used, which a peer of an earlier release does not tell.
     * Such a peer does not know either that the worker must have a certain version.
     *
     * @return whether the response may be passed on
     */
    boolean acceptsVersion(Call call, Placement placement) {
        if (call.versions().attemptVersion().isEmpty()) {
            call.versions().beginAttempt(placement.entry().version());
        }
        return call.versions().accepts(call.versions().attemptVersion());
    }

    /** Returns the result of an attempt to which the peer has not sent a worker's response. */
    AttemptResult toResult(Call call, RelayTarget peer, RelayResult result) {
        failed.inc();
        if (result instanceof RelayResult.NotExecuted notExecuted) {
            if (!notExecuted.wasReached()) {
                recordRefusal(call, peer);
            }
            return new AttemptResult.NotExecuted(
                    "peer " + peer.name() + ": " + notExecuted.reason(), notExecuted.wasReached());
        }
        return new AttemptResult.Unknown("peer " + peer.name() + ": " + ((RelayResult.Unknown) result).reason());
    }

    private void recordRefusal(Call call, RelayTarget peer) {
        call.recordRelayFailure();
        peers.ifPresent(each -> each.recordRefusal(peer.name()));
    }

    /** Returns the result of an attempt whose connection to the peer has failed. */
    AttemptResult toResult(Call call, RelayTarget peer, WorkerConnectionException error) {
        failed.inc();
        recordRefusal(call, peer);
        String reason = "peer " + peer.name() + " failed: " + error.getMessage();
        if (!error.isSent()) {
            return new AttemptResult.NotExecuted(reason, false);
        }
        // A worker may have had the request, so it counts for the limit of attempts.
        call.recordRelayedSends("", 1);
        return new AttemptResult.Unknown(reason);
    }

    /** Returns whether a call that has reached no worker may be tried again, at a worker or through a peer. */
    boolean mayTryAgain(Call call, int maxConnectFailures) {
        if (target(call).isPresent()) {
            return true;
        }
        return !reachability.isCutOff()
                && call.failedPeers().isEmpty()
                && call.connectFailureCount() < maxConnectFailures;
    }

    /** Returns the reason of a rejection, with what this process knows about its own links. */
    String explain(Call call, String reason) {
        if (!reachability.isCutOff()) {
            return reason;
        }
        return call.relayPeer().isEmpty()
                ? "no worker is reached from here and no peer can serve, " + reason
                : "no worker is reached from here, " + reason;
    }

    /**
     * Fails an attempt that waits for a response while this process is cut off, if the request may be sent again. Other
     * requests keep waiting, because the worker's response may still arrive.
     */
    Mono<StreamedResponse> abortWhenCutOff(Call call, Mono<StreamedResponse> response) {
        if (!call.attributes().route().isRetryable()) {
            return response;
        }
        return Mono.firstWithSignal(response, reachability.hangingSignal().then(Mono.error(RelayAttempts::aborted)));
    }

    private static WorkerConnectionException aborted() {
        return new WorkerConnectionException(
                true, new IllegalStateException("no link to any worker while waiting for the response"));
    }
}
