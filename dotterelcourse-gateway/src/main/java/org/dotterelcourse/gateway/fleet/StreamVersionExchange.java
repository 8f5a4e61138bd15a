package org.dotterelcourse.gateway.fleet;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BiConsumer;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import com.google.protobuf.InvalidProtocolBufferException;
import org.dotterelcourse.coordination.collect.CollectorPlan;
import org.dotterelcourse.coordination.membership.Member;
import org.dotterelcourse.coordination.membership.MemberState;
import org.dotterelcourse.coordination.ownership.Rendezvous;
import org.dotterelcourse.coordination.transport.PeerMessage;
import org.dotterelcourse.coordination.transport.PeerTransport;
import org.dotterelcourse.daemon.kernel.Kernel;
import org.dotterelcourse.daemon.kernel.Service;
import org.dotterelcourse.daemon.kernel.ServiceName;
import org.dotterelcourse.daemon.kernel.StartupFailure;
import org.dotterelcourse.daemon.peers.Peers;
import org.dotterelcourse.gateway.GatewayLoop;
import org.dotterelcourse.gateway.GatewayState;
import org.dotterelcourse.gateway.fleet.generated.FleetProtos;
import org.dotterelcourse.gateway.forward.Forwarder;
import org.dotterelcourse.gateway.forward.StreamVersionPeers;
import org.dotterelcourse.gateway.metrics.GatewayMetrics;
import org.dotterelcourse.policy.resumption.StreamKey;
import org.dotterelcourse.policy.resumption.StreamVersionNotice;
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

    /** Peers that keep the version of a stream in a fleet that is too large for all of them to keep it. */
    private static final int KEEPERS = 3;

    /** Notices in one message, which then fits into a datagram. */
    private static final int MAX_NOTICES = 64;

    /** Time for the answers of peers: a lost message and its repetition between two regions. */
    private static final long ANSWER_TIMEOUT_MILLIS = 300;

    /** Time after which unanswered queries are repeated once. */
    private static final long REPEAT_MILLIS = 100;

    private static final long TICK_MILLIS = 250;

    /** A tick that is later than this shows that the process was paused and has missed notices and entries. */
    private static final long MAX_PAUSE_NANOS = 1_000_000_000L;

    /** Streams of an upstream of one version for which notices are kept, in case another version appears. */
    private static final int MAX_DEFERRED = 4_096;

    private final Map<Long, Query> queries = new HashMap<>();
    private final Map<String, Deque<Deferred>> deferred = new HashMap<>();
    private List<StreamVersionNotice> unsent = new ArrayList<>();
    private GatewayLoop loop;
    private GatewayState state;
    private Peers peers;
    private PeerTransport transport;
    private Counter sentBytes;
    private long lastQuery;
    private long lastTickNanos;

    /** A notice that no peer needs while its upstream has a single version, with the time of the stream. */
    private record Deferred(StreamVersionNotice notice, long atNanos) {}

    /** A query with the peers that have not answered, and what the others have said. */
    private static final class Query {
        private final MonoSink<Optional<String>> sink;
        private final FleetProtos.StreamVersionQuery message;
        private final Map<String, Member> unanswered = new LinkedHashMap<>();
        private final Set<String> onlyVersions = new HashSet<>();

        private Query(MonoSink<Optional<String>> sink, FleetProtos.StreamVersionQuery message, List<Member> asked) {
            this.sink = sink;
            this.message = message;
            asked.forEach(peer -> unanswered.put(peer.name(), peer));
        }
    }

    @Override
    public ServiceName<StreamVersionExchange> name() {
        return NAME;
    }

    @Override
    public List<ServiceName<?>> dependencies() {
        return List.of(GatewayLoop.NAME, GatewayState.NAME, GatewayMetrics.NAME, Peers.NAME, Forwarder.NAME);
    }

    @Override
    public List<StartupFailure> start(Kernel kernel) {
        loop = kernel.find(GatewayLoop.NAME);
        state = kernel.find(GatewayState.NAME);
        peers = kernel.find(Peers.NAME);
        transport = peers.transport();
        MetricRegistry metrics = kernel.find(GatewayMetrics.NAME).registry();
        sentBytes = metrics.counter("gateway.resumption.sent-bytes");
        metrics.gauge("gateway.resumption.streams", () -> (Gauge<Integer>) state.streamVersions()::size);
        register(NOTICES, this::receiveNotices);
        register(QUERIES, this::receiveQuery);
        register(ANSWERS, this::receiveAnswer);
        loop.execute(this::tick);
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

    /** Removes old records, and sends notices of upstreams that have several versions now. */
    private void tick() {
        observe();
        state.streamVersions().removeBefore(loop.nowNanos() - state.streamLifetimeNanos());
        deferred.keySet().forEach(this::sendDeferred);
        loop.runAfter(TICK_MILLIS, this::tick);
    }

    /** Begins the observation of versions, anew after a pause of the process. */
    private void observe() {
        long nowNanos = loop.nowNanos();
        if (state.isReady()) {
            if (lastTickNanos == 0 || nowNanos - lastTickNanos > MAX_PAUSE_NANOS) {
                state.workers().versionHistory().beginObservation(nowNanos);
            }
            lastTickNanos = nowNanos;
        }
    }

    @Override
    public void announce(String upstream, StreamVersionNotice notice) {
        deferred.computeIfAbsent(upstream, name -> new ArrayDeque<>()).addLast(new Deferred(notice, loop.nowNanos()));
        sendDeferred(upstream);
    }

    /** Sends the notices of an upstream, including those from before it had several versions. */
    private void sendDeferred(String upstream) {
        Deque<Deferred> notices = deferred.get(upstream);
        long nowNanos = loop.nowNanos();
        long lifetimeNanos = state.streamLifetimeNanos();
        while (!notices.isEmpty()
                && (notices.size() > MAX_DEFERRED
                        || nowNanos - notices.peekFirst().atNanos() > lifetimeNanos)) {
            notices.removeFirst();
        }
        if (state.workers().versionHistory().isAmbiguous(upstream, lifetimeNanos, nowNanos)) {
            notices.forEach(each -> enqueue(each.notice()));
            notices.clear();
        }
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
        Map<Member, List<StreamVersionNotice>> byReceiver = new LinkedHashMap<>();
        for (StreamVersionNotice notice : unsent) {
            keepers(notice.stream())
                    .forEach(keeper -> byReceiver
                            .computeIfAbsent(keeper, member -> new ArrayList<>())
                            .add(notice));
        }
        unsent = new ArrayList<>();
        byReceiver.forEach((keeper, notices) ->
                send(keeper, NOTICES, StreamVersionCodec.encode(notices).toByteArray()));
    }

    private void send(Member member, String channel, byte[] body) {
        sentBytes.inc(body.length);
        FleetMessages.send(transport, member, channel, body);
    }

    /** Returns the peers that keep the version of a stream. */
    private List<Member> keepers(StreamKey stream) {
        List<Member> others = peers.view().stream()
                .filter(member -> !member.name().equals(peers.self()) && member.state() == MemberState.ALIVE)
                .toList();
        if (others.size() < CollectorPlan.MAX_DIRECT_PROCESSES) {
            return others;
        }
        Map<String, Member> byName = new HashMap<>();
        others.forEach(member -> byName.put(member.name(), member));
        return Rendezvous.order(Long.toHexString(stream.value()), byName.keySet()).stream()
                .limit(KEEPERS)
                .map(byName::get)
                .toList();
    }

    @Override
    public Mono<Optional<String>> ask(StreamKey stream, String upstream) {
        return Mono.create(sink -> {
            observe();
            List<Member> asked = keepers(stream);
            if (asked.isEmpty()) {
                sink.success(Optional.empty());
                return;
            }
            long number = ++lastQuery;
            FleetProtos.StreamVersionQuery message = FleetProtos.StreamVersionQuery.newBuilder()
                    .setNumber(number)
                    .setStream(stream.value())
                    .setUpstream(upstream)
                    .build();
            queries.put(number, new Query(sink, message, asked));
            sink.onDispose(() -> queries.remove(number));
            sendQuery(number);
            loop.runAfter(REPEAT_MILLIS, () -> sendQuery(number));
            loop.runAfter(ANSWER_TIMEOUT_MILLIS, () -> withQuery(number, this::end));
        });
    }

    private void sendQuery(long number) {
        withQuery(
                number,
                (key, query) ->
                        query.unanswered.values().forEach(peer -> send(peer, QUERIES, query.message.toByteArray())));
    }

    private void withQuery(long number, BiConsumer<Long, Query> action) {
        Query query = queries.get(number);
        if (query != null) {
            action.accept(number, query);
        }
    }

    /** Ends a query that no peer has a notice for: by the only version that all answers agree on, or with no result. */
    private void end(long number, Query query) {
        Optional<String> only =
                query.onlyVersions.size() == 1 ? query.onlyVersions.stream().findFirst() : Optional.empty();
        LOG.infof(
                "no peer has a notice of stream %016x of %s, %d have not answered; %s",
                query.message.getStream(),
                query.message.getUpstream(),
                query.unanswered.size(),
                only.map(version -> "its version is " + version + ", the only one that has served")
                        .orElse("the request is rejected"));
        query.sink.success(only);
    }

    private void receiveNotices(String peer, byte[] body) throws InvalidProtocolBufferException {
        long nowNanos = loop.nowNanos();
        StreamVersionCodec.decode(FleetProtos.StreamVersions.parseFrom(body))
                .forEach(notice -> state.streamVersions().record(notice, nowNanos));
    }

    private void receiveQuery(String peer, byte[] body) throws InvalidProtocolBufferException {
        observe();
        FleetProtos.StreamVersionQuery query = FleetProtos.StreamVersionQuery.parseFrom(body);
        FleetProtos.StreamVersionAnswer.Builder answer =
                FleetProtos.StreamVersionAnswer.newBuilder().setNumber(query.getNumber());
        state.streamVersions()
                .find(new StreamKey(query.getStream()))
                .ifPresent(notice -> answer.setVersion(notice.version()));
        state.workers()
                .versionHistory()
                .onlyVersion(query.getUpstream(), state.streamLifetimeNanos(), loop.nowNanos())
                .ifPresent(answer::setOnlyVersion);
        for (Member member : peers.view()) {
            if (member.name().equals(peer)) {
                send(member, ANSWERS, answer.build().toByteArray());
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
                query.sink.success(Optional.of(answer.getVersion()));
                return;
            }
            if (answer.hasOnlyVersion()) {
                query.onlyVersions.add(answer.getOnlyVersion());
            }
            if (query.unanswered.isEmpty()) {
                end(number, query);
            }
        });
    }
}
