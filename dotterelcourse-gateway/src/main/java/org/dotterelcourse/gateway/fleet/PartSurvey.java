package org.dotterelcourse.gateway.fleet;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;

import com.codahale.metrics.Counter;
import com.google.protobuf.InvalidProtocolBufferException;
import org.dotterelcourse.coordination.membership.Member;
import org.dotterelcourse.gateway.GatewayLoop;
import org.dotterelcourse.gateway.GatewayState;
import org.dotterelcourse.gateway.fleet.PartVersionCodec.KeptPart;
import org.dotterelcourse.gateway.fleet.generated.FleetProtos;
import org.dotterelcourse.gateway.forward.KeptPartReader;
import org.dotterelcourse.gateway.workers.WorkerEntry;
import org.dotterelcourse.gateway.workers.WorkerLinks;
import org.dotterelcourse.policy.resumption.StreamKey;
import org.jboss.logging.Logger;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/**
 * Reads which parts of prompts the workers of an upstream keep, when a stream is resumed that no process knows. The workers are
 * divided among the processes, so that each is read about once. In a large fleet, the results go to the peers that are asked
 * about them. Used on the gateway's event loop only.
 */
final class PartSurvey {
    static final String REQUESTS = "gateway-part-surveys";
    static final String RESULTS = "gateway-part-versions";

    private static final Logger LOG = Logger.getLogger(PartSurvey.class);

    /** Time after a survey in which no other one begins: reading delays a worker's work. */
    private static final long MIN_INTERVAL_NANOS = 2_000_000_000L;

    /**
     * Workers that one process reads in one survey. A process that has just started knows few peers, and would take too many
     * workers for its own.
     */
    private static final int MAX_READ = 32;

    private static final int CONCURRENT_READS = 4;

    /** Leaves 64 groups of parts; enough to spread them over the processes of the target size. */
    private static final int GROUP_SHIFT = 58;

    /** Parts in one message, which then fits into a datagram. */
    private static final int MAX_PARTS = 64;

    private static final Duration TIMEOUT = Duration.ofMillis(1_000);

    private final GatewayLoop loop;
    private final GatewayState state;
    private final VersionKeepers keepers;
    private final KeptPartReader reader;
    private final WorkerLinks workers;
    private final Counter reads;
    private final Map<String, Long> begunNanos = new HashMap<>();

    PartSurvey(GatewayLoop loop, GatewayState state, VersionKeepers keepers, KeptPartReader reader, Counter reads) {
        this.loop = loop;
        this.state = state;
        this.keepers = keepers;
        this.reader = reader;
        this.workers = new WorkerLinks(state.workers(), RandomGenerator.getDefault());
        this.reads = reads;
    }

    /** Begins a survey of all processes, unless one has begun just before; returns whether one is in progress. */
    boolean begin(String upstream) {
        if (isDue(upstream)) {
            byte[] request = FleetProtos.PartSurvey.newBuilder()
                    .setUpstream(upstream)
                    .build()
                    .toByteArray();
            keepers.others().forEach(peer -> keepers.send(peer, REQUESTS, request));
            read(upstream);
        }
        return loop.nowNanos() - begunNanos.get(upstream) < TIMEOUT.toNanos();
    }

    void receiveRequest(byte[] body) throws InvalidProtocolBufferException {
        String upstream = FleetProtos.PartSurvey.parseFrom(body).getUpstream();
        if (isDue(upstream)) {
            read(upstream);
        }
    }

    void receiveResults(byte[] body) throws InvalidProtocolBufferException {
        long nowNanos = loop.nowNanos();
        PartVersionCodec.decode(FleetProtos.PartVersions.parseFrom(body))
                .forEach(kept -> state.partVersions().record(kept.part(), kept.version(), nowNanos));
    }

    private boolean isDue(String upstream) {
        Long begun = begunNanos.get(upstream);
        return begun == null || loop.nowNanos() - begun >= MIN_INTERVAL_NANOS;
    }

    private void read(String upstream) {
        begunNanos.put(upstream, loop.nowNanos());
        Map<String, WorkerEntry> published = new HashMap<>();
        workers.published(upstream).forEach(entry -> published.put(entry.id(), entry));
        List<WorkerEntry> own = keepers.assigned(published.keySet()).stream()
                .limit(MAX_READ)
                .map(published::get)
                .toList();
        LOG.infof(
                "a resumed stream of %s is not known, reading what %d of its %d workers keep",
                upstream, own.size(), published.size());
        Flux.fromIterable(own)
                .flatMap(worker -> readOne(worker).doOnNext(parts -> record(worker, parts)), CONCURRENT_READS)
                .subscribe();
    }

    private Mono<List<String>> readOne(WorkerEntry worker) {
        reads.inc();
        return reader.read(worker)
                .timeout(TIMEOUT, loop.scheduler())
                .publishOn(loop.scheduler())
                .onErrorResume(error -> {
                    LOG.infof("%s does not tell which prompts it keeps, it is left out: %s", worker.id(), error);
                    return Mono.empty();
                });
    }

    /** Records the parts of a worker, unless it may have started again meanwhile. */
    private void record(WorkerEntry worker, List<String> parts) {
        boolean isSame = state.workers()
                .find(worker.id())
                .filter(current -> current.entry().incarnation() == worker.incarnation()
                        && current.entry().version().equals(worker.version()))
                .isPresent();
        if (!isSame) {
            return;
        }
        long nowNanos = loop.nowNanos();
        List<KeptPart> kept = parts.stream()
                .map(part -> new KeptPart(StreamKey.ofPart(worker.upstream(), part), worker.version()))
                .toList();
        kept.forEach(each -> state.partVersions().record(each.part(), each.version(), nowNanos));
        if (!keepers.areAllAsked()) {
            keepers.group(kept, each -> group(each.part())).forEach(this::tell);
        }
    }

    private void tell(Member keeper, List<KeptPart> results) {
        for (int first = 0; first < results.size(); first += MAX_PARTS) {
            List<KeptPart> message = results.subList(first, Math.min(results.size(), first + MAX_PARTS));
            keepers.send(keeper, RESULTS, PartVersionCodec.encode(message).toByteArray());
        }
    }

    /** Returns the key that decides which peers keep a part: of some groups of parts, since a worker has hundreds of them. */
    static StreamKey group(StreamKey part) {
        return new StreamKey(part.value() >>> GROUP_SHIFT);
    }
}
