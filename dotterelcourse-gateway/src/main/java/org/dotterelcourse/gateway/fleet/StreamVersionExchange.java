package org.dotterelcourse.gateway.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.BiConsumer;
import java.util.random.RandomGenerator;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import com.google.protobuf.InvalidProtocolBufferException;
import org.dotterelcourse.coordination.membership.Member;
import org.dotterelcourse.coordination.transport.PeerMessage;
import org.dotterelcourse.coordination.transport.PeerTransport;
import org.dotterelcourse.daemon.kernel.Kernel;
import org.dotterelcourse.daemon.kernel.Service;
import org.dotterelcourse.daemon.kernel.ServiceName;
import org.dotterelcourse.daemon.kernel.StartupFailure;
import org.dotterelcourse.daemon.peers.Peers;
import org.dotterelcourse.gateway.GatewayLoop;
import org.dotterelcourse.gateway.GatewayState;
import org.dotterelcourse.gateway.Poller;
import org.dotterelcourse.gateway.fleet.generated.FleetProtos;
import org.dotterelcourse.gateway.forward.Forwarder;
import org.dotterelcourse.gateway.forward.KeptPartReader;
import org.dotterelcourse.gateway.forward.Reachability;
import org.dotterelcourse.gateway.forward.StreamVersionPeers;
import org.dotterelcourse.gateway.metrics.GatewayMetrics;
import org.dotterelcourse.gateway.published.Publications;
import org.dotterelcourse.policy.resumption.KeptPartEvidence;
import org.dotterelcourse.policy.resumption.StreamKey;
import org.dotterelcourse.policy.resumption.StreamVersionNotice;
import org.dotterelcourse.policy.resumption.StreamVersionProof;
import org.dotterelcourse.policy.resumption.VersionHistory;
import org.jboss.logging.Logger;
import reactor.core.publisher.Mono;
import reactor.core.publisher.MonoSink;

/**
 * Tells peers the software versions of streams and asks them for those that this process does not know. In a small fleet all
 * peers get every notice; in a larger one, a few that all processes determine alike by rendezvous hashing of the stream.
 */
public final class StreamVersionExchange implements Service, StreamVersionPeers {
    /** Name of this service in the kernel. */
    public static final ServiceName<StreamVersionExchange> NAME =
            new ServiceName<>("stream-version-exchange", StreamVersionExchange.class);

    private static final Logger LOG = Logger.getLogger(StreamVersionExchange.class);
    private static final String NOTICES = "gateway-stream-versions";
    private static final String QUERIES = "gateway-stream-version-queries";
    private static final String ANSWERS = "gateway-stream-version-answers";

    /** Time in which notices are collected for one message. Engines need longer until the first event of a stream. */
    private static final long COLLECT_MILLIS = 20;

    /** Notices in one message, which then fits into a datagram. */
    private static final int MAX_NOTICES = 64;

    /** Time for the answers of peers: a lost message and its repetition between two regions. */
    private static final long ANSWER_TIMEOUT_MILLIS = 300;

    /** Time after which unanswered queries are repeated once. */
    private static final long REPEAT_MILLIS = 100;

    private static final long TICK_MILLIS = 250;

    /** Ticks between two questions to peers whether they vouch for the only version that this process has seen. */
    private static final int VOUCHER_TICKS = 4;

    private final Map<Long, Query> queries = new HashMap<>();
    private final Map<String, OwnStreamNotices> ownNotices = new HashMap<>();
    private final Handovers handovers = new Handovers();
    private List<StreamVersionNotice> unsent = new ArrayList<>();
    private GatewayLoop loop;
    private GatewayState state;
    private Publications publications;
    private final KeptPartReader reader;
    private Peers peers;
    private PeerTransport transport;
    private VersionKeepers keepers;
    private PartSurvey survey;
    private final QueryNumbers numbers = new QueryNumbers(RandomGenerator.getDefault());
    private int ticks;

    /** A query with the peers that have not answered, and what the others have said. */
    private static final class Query {
        private final MonoSink<Optional<StreamVersionProof>> sink;
        private final FleetProtos.StreamVersionQuery message;
        private final Map<String, Member> unanswered = new LinkedHashMap<>();
        private final OnlyVersionClaims onlyVersions = new OnlyVersionClaims();

        private Query(
                MonoSink<Optional<StreamVersionProof>> sink,
                FleetProtos.StreamVersionQuery message,
                List<Member> asked) {
            this.sink = sink;
            this.message = message;
            asked.forEach(peer -> unanswered.put(peer.name(), peer));
        }

        /** Returns what the answers prove together; versions on which they don't agree prove nothing. */
        private Optional<StreamVersionProof> proof() {
            return onlyVersions
                    .version()
                    .map(version -> new StreamVersionProof(version, StreamVersionProof.Kind.ONLY_VERSION));
        }
    }

    /**
     * Creates the service.
     *
     * @param reader reads which parts of prompts a worker keeps
     */
    public StreamVersionExchange(KeptPartReader reader) {
        this.reader = reader;
    }

    @Override
    public ServiceName<StreamVersionExchange> name() {
        return NAME;
    }

    @Override
    public List<ServiceName<?>> dependencies() {
        return List.of(
                GatewayLoop.NAME,
                GatewayState.NAME,
                GatewayMetrics.NAME,
                Publications.NAME,
                Peers.NAME,
                Forwarder.NAME,
                Reachability.NAME);
    }

    @Override
    public List<StartupFailure> start(Kernel kernel) {
        loop = kernel.find(GatewayLoop.NAME);
        state = kernel.find(GatewayState.NAME);
        publications = kernel.find(Publications.NAME);
        peers = kernel.find(Peers.NAME);
        transport = peers.transport();
        MetricRegistry metrics = kernel.find(GatewayMetrics.NAME).registry();
        keepers = new VersionKeepers(peers, metrics.counter("gateway.resumption.sent-bytes"));
        Reachability reachability = kernel.find(Reachability.NAME);
        survey = new PartSurvey(
                loop,
                state,
                keepers,
                new PartReadings(
                        loop,
                        state,
                        reader,
                        reachability::isCutOff,
                        metrics.counter("gateway.resumption.worker-reads")));
        metrics.gauge("gateway.resumption.streams", () -> (Gauge<Integer>) state.streamVersions()::size);
        metrics.gauge("gateway.resumption.parts", () -> (Gauge<Integer>) state.partVersions()::size);
        register(NOTICES, this::receiveNotices);
        register(QUERIES, this::receiveQuery);
        register(ANSWERS, this::receiveAnswer);
        register(PartSurvey.QUERIES, survey::receiveQuery);
        register(PartSurvey.ANSWERS, survey::receiveAnswer);
        Poller poller = new Poller(loop, TICK_MILLIS, this::tick);
        loop.execute(() -> {
            poller.start();
            tick();
        });
        kernel.find(Forwarder.NAME).resumeThrough(this);
        return List.of();
    }

    /** A handler of message bodies that may be malformed. */
    private interface Handler {
        void receive(String peer, byte[] body) throws InvalidProtocolBufferException;
    }

    private void register(String channel, Handler handler) {
        transport.registerHandler(channel, message -> loop.execute(() -> receive(message, handler)));
    }

    private static void receive(PeerMessage message, Handler handler) {
        try {
            handler.receive(message.sender().name(), message.body());
        } catch (InvalidProtocolBufferException | IllegalArgumentException e) {
            LOG.warnf(
                    e,
                    "message about software versions of streams from %s can't be read, it is ignored",
                    message.sender().name());
        }
    }

    @Override
    public void stop() {
        // The timer ends with the event loop.
    }

    /**
     * Removes old records, sends notices of upstreams that have several versions now, tells peers that have joined of open
     * streams, and asks peers to vouch.
     *
     * @return true, since there is always more to do
     */
    private boolean tick() {
        long nowNanos = loop.nowNanos();
        long lifetimeNanos = state.streamLifetimeNanos();
        VersionHistory history = state.versionHistory(nowNanos);
        state.streamVersions().removeBefore(nowNanos - lifetimeNanos);
        state.partVersions().removeBefore(nowNanos - lifetimeNanos);
        survey.removeExpired();
        ownNotices.keySet().forEach(this::sendDeferred);
        handOver();
        ticks++;
        if (state.isReady() && ticks % VOUCHER_TICKS == 0) {
            history.unprovenUpstreams(lifetimeNanos, nowNanos).forEach(this::askForVoucher);
        }
        return true;
    }

    /** Asks some peers, others each time, whether they have observed the only version of an upstream for long enough. */
    private void askForVoucher(String upstream) {
        List<Member> asked = keepers.of(StreamKey.ofPart(upstream, Integer.toString(ticks)));
        ask(StreamKey.NONE, upstream, asked)
                .subscribe(proof -> proof.ifPresent(
                        each -> state.versionHistory(loop.nowNanos()).vouch(upstream, each.version())));
    }

    @Override
    public void announce(String upstream, StreamVersionNotice notice) {
        ownNotices.computeIfAbsent(upstream, name -> new OwnStreamNotices()).add(notice, loop.nowNanos());
        sendDeferred(upstream);
    }

    /** Sends the notices of an upstream, including those from before it had several versions. */
    private void sendDeferred(String upstream) {
        OwnStreamNotices notices = ownNotices.get(upstream);
        long nowNanos = loop.nowNanos();
        long lifetimeNanos = state.streamLifetimeNanos();
        notices.removeBefore(nowNanos - lifetimeNanos);
        if (state.versionHistory(nowNanos).isAmbiguous(upstream, lifetimeNanos, nowNanos)) {
            notices.takeDeferred().forEach(this::enqueue);
        }
    }

    /** Tells peers that have just joined of this process's open streams: they know none, and others may have restarted too. */
    private void handOver() {
        List<Member> joined = handovers.due(peers.view(), peers.self());
        if (joined.isEmpty()) {
            return;
        }
        List<StreamVersionNotice> open =
                ownNotices.values().stream().flatMap(OwnStreamNotices::all).toList();
        joined.forEach(peer -> sendNotices(peer, keepers.keptBy(peer, open, StreamVersionNotice::stream)));
    }

    private void enqueue(StreamVersionNotice notice) {
        unsent.add(notice);
        if (unsent.size() == 1) {
            loop.runAfter(COLLECT_MILLIS, this::sendNotices);
        } else if (unsent.size() >= MAX_NOTICES) {
            sendNotices();
        }
    }

    private void sendNotices() {
        List<StreamVersionNotice> collected = unsent;
        unsent = new ArrayList<>();
        keepers.group(collected, StreamVersionNotice::stream).forEach(this::sendNotices);
    }

    private void sendNotices(Member keeper, List<StreamVersionNotice> notices) {
        for (int first = 0; first < notices.size(); first += MAX_NOTICES) {
            List<StreamVersionNotice> message = notices.subList(first, Math.min(notices.size(), first + MAX_NOTICES));
            keepers.send(keeper, NOTICES, StreamVersionCodec.encode(message).toByteArray());
        }
    }

    @Override
    public Mono<KeptPartEvidence.Verdict> surveyPart(StreamKey part, String upstream, long limitMillis) {
        return survey.survey(upstream, part, limitMillis);
    }

    @Override
    public Mono<Boolean> confirmPublished() {
        return publications.confirm();
    }

    @Override
    public Mono<Optional<StreamVersionProof>> ask(StreamKey stream, String upstream) {
        return ask(stream, upstream, keepers.of(stream));
    }

    private Mono<Optional<StreamVersionProof>> ask(StreamKey stream, String upstream, List<Member> asked) {
        return Mono.create(sink -> {
            long number = numbers.next();
            FleetProtos.StreamVersionQuery message = FleetProtos.StreamVersionQuery.newBuilder()
                    .setNumber(number)
                    .setStream(stream.value())
                    .setUpstream(upstream)
                    .build();
            Query query = new Query(sink, message, asked);
            if (asked.isEmpty()) {
                sink.success(query.proof());
                return;
            }
            queries.put(number, query);
            sink.onDispose(() -> queries.remove(number));
            sendQuery(number);
            loop.runAfter(REPEAT_MILLIS, () -> sendQuery(number));
            loop.runAfter(ANSWER_TIMEOUT_MILLIS, () -> withQuery(number, (key, each) -> end(each)));
        });
    }

    private void sendQuery(long number) {
        withQuery(
                number,
                (key, query) -> query.unanswered
                        .values()
                        .forEach(peer -> keepers.send(peer, QUERIES, query.message.toByteArray())));
    }

    private void withQuery(long number, BiConsumer<Long, Query> action) {
        Query query = queries.get(number);
        if (query != null) {
            action.accept(number, query);
        }
    }

    /** Ends a query that no peer has a notice for by what the answers prove together. */
    private void end(Query query) {
        Optional<StreamVersionProof> proof = query.proof();
        if (query.message.getStream() != StreamKey.NONE.value()) {
            LOG.infof(
                    "no peer has a notice of stream %016x of %s, %d have not answered; %s",
                    query.message.getStream(),
                    query.message.getUpstream(),
                    query.unanswered.size(),
                    proof.map(each -> "its version is " + each.version() + ", by " + each.kind())
                            .orElse("its version is not proven"));
        }
        query.sink.success(proof);
    }

    private void receiveNotices(String peer, byte[] body) throws InvalidProtocolBufferException {
        long nowNanos = loop.nowNanos();
        StreamVersionCodec.decode(FleetProtos.StreamVersions.parseFrom(body))
                .forEach(notice -> state.streamVersions().record(notice, nowNanos));
    }

    private void receiveQuery(String peer, byte[] body) throws InvalidProtocolBufferException {
        long nowNanos = loop.nowNanos();
        FleetProtos.StreamVersionQuery query = FleetProtos.StreamVersionQuery.parseFrom(body);
        FleetProtos.StreamVersionAnswer.Builder answer =
                FleetProtos.StreamVersionAnswer.newBuilder().setNumber(query.getNumber());
        state.streamVersions()
                .find(new StreamKey(query.getStream()))
                .ifPresent(notice -> answer.setVersion(notice.version()));
        VersionHistory history = state.versionHistory(nowNanos);
        history.onlyVersion(query.getUpstream(), state.streamLifetimeNanos(), nowNanos)
                .ifPresent(answer::setOnlyVersion);
        answer.setSeveralVersions(history.hasSeveral(query.getUpstream(), state.streamLifetimeNanos(), nowNanos));
        for (Member member : peers.view()) {
            if (member.name().equals(peer)) {
                keepers.send(member, ANSWERS, answer.build().toByteArray());
            }
        }
    }

    private void receiveAnswer(String peer, byte[] body) throws InvalidProtocolBufferException {
        FleetProtos.StreamVersionAnswer answer = FleetProtos.StreamVersionAnswer.parseFrom(body);
        withQuery(answer.getNumber(), (number, query) -> {
            if (query.unanswered.remove(peer) == null) {
                return;
            }
            if (answer.hasVersion()) {
                query.sink.success(
                        Optional.of(new StreamVersionProof(answer.getVersion(), StreamVersionProof.Kind.RECORD)));
                return;
            }
            query.onlyVersions.add(answer);
            if (query.unanswered.isEmpty()) {
                end(query);
            }
        });
    }
}
