package org.dotterelcourse.gateway.forward;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.UnaryOperator;

import com.codahale.metrics.MetricRegistry;
import com.google.protobuf.ByteString;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import org.dotterelcourse.gateway.GatewayLoop;
import org.dotterelcourse.gateway.forward.generated.RelayProtos;
import org.dotterelcourse.gateway.routing.Route;
import org.jboss.logging.Logger;
import reactor.core.publisher.Mono;

/** Relays requests to peers, which send them to one worker each. */
final class RelayClient {
    private static final Logger LOG = Logger.getLogger(RelayClient.class);

    private static final long NANOS_PER_MILLI = 1_000_000L;

    /** Limits memory, since peers that are replaced have other addresses. */
    private static final int MAX_PEER_NAMES = 1_000;

    private final GatewayLoop loop;
    private final WorkerClient client;
    private final Map<String, String> peerNames = new LinkedHashMap<>();

    /** Distinguishes the ids of this process from those of others, and of its earlier starts. */
    private final String idPrefix = Long.toHexString(ThreadLocalRandom.current().nextLong()) + "-";

    private final AtomicLong sequence = new AtomicLong();
    private String self = "";

    RelayClient(GatewayLoop loop, ResponseMemory memory, MetricRegistry metrics) {
        this.loop = loop;
        ResponseFaultLog faults = new ResponseFaultLog(
                metrics,
                "gateway.relay.responses.",
                address -> "peer " + peerNames.getOrDefault(address, "of an unknown name"),
                loop::nowNanos);
        this.client = new WorkerClient(loop, UnaryOperator.identity(), new RelayResponseMatcher(), faults, memory);
    }

    /** Sets the name of this process, for the peers' logs. */
    void setSelf(String name) {
        self = name;
    }

    /**
     * Relays a request to a peer. Cancelling the subscription closes the connection, upon which the peer cancels the request
     * at its worker.
     *
     * @param call the request, on which the workers that the peer has used are recorded
     * @param target the peer
     * @param excludedWorkers workers that must not get the request, in addition to those that had it
     * @return the peer's answer, or an error of type {@link WorkerConnectionException}
     */
    Mono<RelayResult> send(Call call, RelayTarget target, List<String> excludedWorkers) {
        return Mono.defer(() -> {
            recordName(target);
            byte[] body = encode(call, excludedWorkers).toByteArray();
            HttpHeaders headers = new DefaultHttpHeaders()
                    .set(HttpHeaderNames.HOST, target.name())
                    .set(RelayHeaders.ID, idPrefix + sequence.incrementAndGet())
                    .set(HttpHeaderNames.CONTENT_LENGTH, body.length);
            return client.send(
                            target.address(),
                            HttpMethod.POST,
                            RelayHeaders.PATH,
                            headers,
                            body,
                            WorkerClient.ConnectListener.NONE)
                    .flatMap(response -> toResult(call, response));
        });
    }

    private void recordName(RelayTarget target) {
        peerNames.put(ResponseFaultLog.describe(target.address()), target.name());
        if (peerNames.size() > MAX_PEER_NAMES) {
            peerNames.remove(peerNames.keySet().iterator().next());
        }
    }

    private RelayProtos.RelayRequest encode(Call call, List<String> excludedWorkers) {
        Call.Attributes attributes = call.attributes();
        Route route = attributes.route();
        long nowNanos = loop.nowNanos();
        RelayProtos.RelayRequest.Builder request = RelayProtos.RelayRequest.newBuilder()
                .setId(attributes.id())
                .setMethod(call.method().name())
                .setUri(call.uri())
                .setBody(ByteString.copyFrom(call.body()))
                .setUpstream(attributes.upstream().name())
                .setRoute(route.name())
                .setCustomer(attributes.customer())
                .setPriority(attributes.priority())
                .setStreaming(route.isStreaming())
                .setTimeoutMillis(route.timeoutMillis())
                .setTargetMillis(route.targetMillis())
                .setGapTargetMillis(route.gapTargetMillis())
                .setElapsedMillis(Math.max(0, (nowNanos - attributes.arrivalNanos()) / NANOS_PER_MILLI))
                .setRemainingMillis(Math.max(0, call.remainingMillis(nowNanos)))
                .addAllExcludedWorkers(call.triedWorkers())
                .addAllExcludedWorkers(excludedWorkers)
                .setLastEventId(call.events().lastId())
                .setRetried(call.wasPlaced() || call.sendCount() > 0)
                .setSender(self);
        if (call.versions().isBound()) {
            request.setVersion(call.versions().version());
        }
        for (Map.Entry<String, String> header : call.headers()) {
            request.addHeaderNames(header.getKey()).addHeaderValues(header.getValue());
        }
        return request.build();
    }

    private static Mono<RelayResult> toResult(Call call, StreamedResponse response) {
        HttpHeaders headers = response.headers();
        String outcome = headers.get(RelayHeaders.OUTCOME, "");
        String reason = headers.get(RelayHeaders.REASON, "");
        int sends = (int) number(headers, RelayHeaders.SENDS);
        long retryAfterMillis = number(headers, RelayHeaders.RETRY_MILLIS);
        call.recordRelayedSends(headers.get(RelayHeaders.WORKER, ""), sends);
        call.versions().beginAttempt(headers.get(RelayHeaders.VERSION, ""));
        RelayHeaders.removeFrom(headers);
        if (outcome.equals(RelayHeaders.RESPONDED)) {
            return Mono.just(new RelayResult.Responded(response));
        }
        RelayResult result = outcome.equals(RelayHeaders.NOT_EXECUTED)
                ? new RelayResult.NotExecuted(reason, sends > 0, retryAfterMillis)
                : new RelayResult.Unknown(outcome.isEmpty() ? "answer has no outcome" : reason);
        return BufferedResponse.collect(response, call.holds()).thenReturn(result);
    }

    private static long number(HttpHeaders headers, String name) {
        String text = headers.get(name, "0");
        try {
            return Math.max(0, Long.parseLong(text));
        } catch (NumberFormatException e) {
            LOG.warnf("a peer's answer has the value '%s' for %s in place of a number, 0 is used", text, name);
            return 0;
        }
    }
}
