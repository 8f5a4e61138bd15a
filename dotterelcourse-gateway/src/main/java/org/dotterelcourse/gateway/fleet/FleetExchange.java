package org.dotterelcourse.gateway.fleet;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import com.google.protobuf.InvalidProtocolBufferException;
import org.dotterelcourse.coordination.collect.CollectorPlan;
import org.dotterelcourse.coordination.membership.Member;
import org.dotterelcourse.coordination.membership.MemberState;
import org.dotterelcourse.coordination.ownership.Rendezvous;
import org.dotterelcourse.coordination.transport.PeerTransport;
import org.dotterelcourse.daemon.kernel.Kernel;
import org.dotterelcourse.daemon.kernel.Service;
import org.dotterelcourse.daemon.kernel.ServiceName;
import org.dotterelcourse.daemon.kernel.StartupFailure;
import org.dotterelcourse.daemon.peers.Peers;
import org.dotterelcourse.gateway.GatewayLoop;
import org.dotterelcourse.gateway.GatewayState;
import org.dotterelcourse.gateway.fleet.generated.FleetProtos;
import org.dotterelcourse.gateway.published.Publications;
import org.dotterelcourse.gateway.published.StoreFollowerElection;
import org.dotterelcourse.gateway.published.StorePosition;
import org.dotterelcourse.gateway.workers.PeerLoads;
import org.dotterelcourse.policy.quarantine.CrashNotice;
import org.dotterelcourse.policy.rate.LimitNotice;
import org.dotterelcourse.policy.selection.CachedPrefixes;
import org.dotterelcourse.policy.selection.LatencyClassWork;
import org.jboss.logging.Logger;

/**
 * Tells peers what this process has in flight and has seen, by the {@link CollectorPlan}.
 *
 * <p>Each process places requests by itself; without its peers' figures, eight of them would each see an eighth of the
 * load and all choose the same worker.
 */
public final class FleetExchange implements Service {
    /** The name that it is found by. */
    public static final ServiceName<FleetExchange> NAME = new ServiceName<>("fleet-exchange", FleetExchange.class);

    private static final Logger LOG = Logger.getLogger(FleetExchange.class);
    private static final String LOADS = "gateway-loads";

    /** Shortest period: about the time that a plain call takes; faster news would be about calls that have ended. */
    private static final long DIRECT_PERIOD_MILLIS = 50;

    /** With every peer, the period of a small fleet grows by this much: some 140 reports a second at most. */
    private static final long MILLIS_PER_PEER = 7;

    /**
     * Period of a fleet with collectors. News takes up to three hops, 0.15 s on average, well below the time that an
     * engine needs for a long prompt.
     */
    private static final long PERIOD_MILLIS = 100;

    /** Reports that say the same again are sent only this often, so that they don't run out at the peers. */
    private static final long UNCHANGED_PERIOD_MILLIS = 500;

    /** A collector that says nothing for this long is replaced by the next one: twice the longest period. */
    private static final long SILENT_MILLIS = 1_000;

    /** How long a silent collector is not tried again; membership knows by then whether it lives. */
    private static final long AVOIDED_MILLIS = 5_000;

    /** Stands for whichever process is this one's collector, so that the next one's sum replaces the last one's. */
    private static final String COLLECTOR = "";

    /** Stand for receivers that are told the same, beside the names of reporters. */
    private static final String ALL = "*";

    private static final String COLLECTORS = "**";
    private static final Set<String> GROUPS = Set.of(ALL, COLLECTORS);

    private static final String FOLLOWER = "follower";

    private static final long NANOS_PER_MILLI = 1_000_000L;

    private final Map<String, Long> reporters = new HashMap<>();
    private final Map<String, Long> avoided = new HashMap<>();
    private GatewayLoop loop;
    private GatewayState state;
    private Publications publications;
    private ItemRelay relay;
    private Peers peers;
    private PeerTransport transport;
    private List<Member> planned = List.of();
    private CollectorPlan plan;

    /** Names of the other processes that are not known to be dead. */
    private List<String> others = List.of();

    private final List<CachedPrefixes.PartLocation> reportedPlaces = new ArrayList<>();
    private final List<CachedPrefixes.PartLocation> gatheredPlaces = new ArrayList<>();
    private String collector = "";
    private long collectorNanos;
    private final Map<String, Told> lastTold = new HashMap<>();

    /** What all receivers are told this time. */
    private Notices notices = Notices.NONE;

    /** What was learned of workers, and is told as it is to everybody. */
    private record Notices(List<CrashNotice> crashes, List<LimitNotice> limits) {
        private static final Notices NONE = new Notices(List.of(), List.of());

        boolean isEmpty() {
            return crashes.isEmpty() && limits.isEmpty();
        }
    }

    /** What a receiver was last told, and when. */
    private record Told(Map<Integer, PeerLoads.Load> loads, long atNanos) {}

    @Override
    public ServiceName<FleetExchange> name() {
        return NAME;
    }

    @Override
    public List<ServiceName<?>> dependencies() {
        return List.of(GatewayLoop.NAME, GatewayState.NAME, Publications.NAME, Peers.NAME, ItemRelay.NAME);
    }

    @Override
    public List<StartupFailure> start(Kernel kernel) {
        loop = kernel.find(GatewayLoop.NAME);
        state = kernel.find(GatewayState.NAME);
        publications = kernel.find(Publications.NAME);
        relay = kernel.find(ItemRelay.NAME);
        peers = kernel.find(Peers.NAME);
        transport = peers.transport();
        transport.registerHandler(
                LOADS, message -> loop.execute(() -> loads(message.sender().name(), message.body())));
        loop.runAfter(DIRECT_PERIOD_MILLIS, this::tell);
        return List.of();
    }

    @Override
    public void stop() {
        // Its timer ends with the loop.
    }

    private void tell() {
        long now = loop.nowNanos();
        List<Member> view = peers.view();
        if (view != planned || plan == null) {
            planned = view;
            plan = CollectorPlan.of(peers.self(), view);
            publications
                    .followerElection()
                    .order(
                            id(peers.self()),
                            plan.readerCandidates().stream()
                                    .map(FleetExchange::id)
                                    .toList(),
                            plan.readerCount());
            others = view.stream().filter(this::isOther).map(Member::name).toList();
            state.workers().fleet(peers.self(), others, now);
            state.quarantine().scheduleReminders();
            state.workers().limits().scheduleReminders();
        }
        state.updateFleetSize(others.size() + 1);
        notices = new Notices(
                state.quarantine().takeNotices(now), state.workers().limits().takeNotices(now));
        if (plan.isDirect()) {
            tellAll(now);
        } else {
            tellByPlan(now);
        }
        long period = Math.max(DIRECT_PERIOD_MILLIS, MILLIS_PER_PEER * others.size());
        loop.runAtNextMultiple(plan.isDirect() ? period : PERIOD_MILLIS, this::tell);
    }

    private boolean isOther(Member member) {
        return !member.name().equals(peers.self()) && member.state() != MemberState.DEAD;
    }

    /** A small fleet: everybody tells everybody. */
    private void tellAll(long now) {
        Map<Integer, PeerLoads.Load> own = state.workers().own(now);
        List<CachedPrefixes.PartLocation> places = state.cachedPrefixes().drainUnreported();
        if (!due(ALL, own, places, now)) {
            return;
        }
        byte[] report = report(FleetProtos.LoadReport.Kind.OWN, own, "", places, now);
        planned.stream().filter(this::isOther).forEach(member -> send(member, report));
    }

    /** Whether a receiver is to be told now; if so, that is noted as done. */
    private boolean due(
            String receiver, Map<Integer, PeerLoads.Load> loads, List<CachedPrefixes.PartLocation> places, long now) {
        Told last = lastTold.get(receiver);
        boolean due = last == null
                || !places.isEmpty()
                || !notices.isEmpty()
                || now - last.atNanos() >= UNCHANGED_PERIOD_MILLIS * NANOS_PER_MILLI
                || publications.followerElection().newsSince(last.atNanos())
                || !loads.equals(last.loads());
        if (due) {
            lastTold.put(receiver, new Told(loads, now));
        }
        return due;
    }

    private void tellByPlan(long now) {
        reporters.values().removeIf(heard -> now - heard > SILENT_MILLIS * NANOS_PER_MILLI);
        List<CachedPrefixes.PartLocation> places = state.cachedPrefixes().drainUnreported();
        Optional<String> to = plan.collector(avoided(now));
        if (to.isPresent()) {
            Map<Integer, PeerLoads.Load> own = state.workers().own(now);
            if (due(ALL, own, places, now)) {
                send(to.get(), report(FleetProtos.LoadReport.Kind.OWN, own, "", places, now));
            }
        }
        places.addAll(reportedPlaces);
        if (plan.isCollector()) {
            Map<Integer, PeerLoads.Load> sum = state.workers().gathered(now);
            if (due(COLLECTORS, sum, places, now)) {
                byte[] gathered = report(FleetProtos.LoadReport.Kind.GATHERED, sum, "", places, now);
                plan.otherCollectors().forEach(each -> send(each, gathered));
            }
        }
        places.addAll(gatheredPlaces);
        for (String reporter : reporters.keySet()) {
            Map<Integer, PeerLoads.Load> sum = state.workers().othersOf(reporter, now);
            if (due(reporter, sum, places, now)) {
                send(reporter, report(FleetProtos.LoadReport.Kind.OTHERS, sum, reporter, places, now));
            }
        }
        lastTold.keySet().removeIf(receiver -> !reporters.containsKey(receiver) && !GROUPS.contains(receiver));
        reportedPlaces.clear();
        gatheredPlaces.clear();
    }

    /** Collectors that are silent are not asked again for a while. */
    private Set<String> avoided(long now) {
        avoided.values().removeIf(since -> now - since > AVOIDED_MILLIS * NANOS_PER_MILLI);
        String wanted = plan.collector(avoided.keySet()).orElse("");
        if (!wanted.equals(collector)) {
            collector = wanted;
            collectorNanos = now;
        } else if (!wanted.isEmpty() && now - collectorNanos > SILENT_MILLIS * NANOS_PER_MILLI) {
            LOG.infof("the collector %s says nothing, another one is asked", wanted);
            avoided.put(wanted, now);
        }
        return new HashSet<>(avoided.keySet());
    }

    private void send(String name, byte[] report) {
        planned.stream().filter(member -> member.name().equals(name)).forEach(member -> send(member, report));
    }

    private void send(Member member, byte[] report) {
        FleetMessages.send(transport, member, LOADS, report);
    }

    private byte[] report(
            FleetProtos.LoadReport.Kind kind,
            Map<Integer, PeerLoads.Load> loads,
            String receiver,
            List<CachedPrefixes.PartLocation> places,
            long now) {
        FleetProtos.LoadReport.Builder report = FleetProtos.LoadReport.newBuilder()
                .setKind(kind)
                .setRevision(publications.position().revision())
                .setEra(publications.position().era())
                .setWorkers(LoadCodec.encode(loads));
        for (StoreFollowerElection.Follower follower :
                publications.followerElection().followers(now)) {
            report.addFollowers(follower.id())
                    .addFollowerAnswers(follower.answer())
                    .addFollowerMillis((int) follower.ageMillis());
        }
        if (!notices.crashes().isEmpty()) {
            report.setCrashes(CrashNoticeCodec.encode(notices.crashes()));
        }
        if (!notices.limits().isEmpty()) {
            report.setLimits(LimitNoticeCodec.encode(notices.limits()));
        }
        places.forEach(place -> report.addParts(place.part()).addPartWorkers(place.worker()));
        state.enginePartitions().forEach((upstream, split) -> {
            LatencyClassWork work =
                    switch (kind) {
                        case GATHERED -> split.reportersWork();
                        case OTHERS -> split.workExcluding(receiver);
                        default -> split.localWork();
                    };
            report.addUpstreams(FleetProtos.UpstreamWork.newBuilder()
                    .setUpstream(upstream)
                    .addAllMillisByPace(
                            Arrays.stream(work.millis()).mapToObj(Math::round).toList()));
        });
        return report.build().toByteArray();
    }

    private void loads(String peer, byte[] body) {
        long now = loop.nowNanos();
        FleetProtos.LoadReport report;
        Map<Integer, PeerLoads.Load> loads;
        Notices told;
        try {
            report = FleetProtos.LoadReport.parseFrom(body);
            loads = LoadCodec.decode(report.getWorkers());
            told = new Notices(
                    CrashNoticeCodec.decode(report.getCrashes()), LimitNoticeCodec.decode(report.getLimits()));
        } catch (InvalidProtocolBufferException | IllegalArgumentException e) {
            LOG.warnf(e, "a load report of %s can't be read", peer);
            return;
        }
        PeerLoads.Scope scope = scope(report.getKind());
        if (scope == PeerLoads.Scope.OWN) {
            reporters.put(peer, now);
        } else if (scope == PeerLoads.Scope.OTHERS && peer.equals(collector)) {
            collectorNanos = now;
        }
        state.workers().peerLoad(peer, scope, loads, now);
        told.crashes().forEach(crash -> state.applyCrashNotice(crash, now));
        told.limits().forEach(limit -> state.applyLimitNotice(limit, peer, now));
        work(peer, scope, report, now);
        places(scope, report, now);
        followers(report, now);
        relay.heard(peer, new StorePosition(report.getEra(), report.getRevision()));
    }

    private static PeerLoads.Scope scope(FleetProtos.LoadReport.Kind kind) {
        return switch (kind) {
            case GATHERED -> PeerLoads.Scope.GATHERED;
            case OTHERS -> PeerLoads.Scope.OTHERS;
            default -> PeerLoads.Scope.OWN;
        };
    }

    private void work(String peer, PeerLoads.Scope scope, FleetProtos.LoadReport report, long now) {
        for (FleetProtos.UpstreamWork work : report.getUpstreamsList()) {
            double[] millis = work.getMillisByPaceList().stream()
                    .mapToDouble(Long::doubleValue)
                    .toArray();
            if (millis.length == LatencyClassWork.none().millis().length) {
                boolean alone = scope == PeerLoads.Scope.OWN;
                String speaker = scope == PeerLoads.Scope.OTHERS ? COLLECTOR : peer;
                state.enginePartition(work.getUpstream())
                        .recordPeerWork(speaker, alone, new LatencyClassWork(millis), now);
            }
        }
    }

    private void places(PeerLoads.Scope scope, FleetProtos.LoadReport report, long now) {
        boolean direct = plan == null || plan.isDirect();
        int count = Math.min(report.getPartsCount(), report.getPartWorkersCount());
        for (int i = 0; i < count; i++) {
            CachedPrefixes.PartLocation place =
                    new CachedPrefixes.PartLocation(report.getParts(i), report.getPartWorkers(i));
            state.cachedPrefixes().recordPeerReport(place, now);
            if (!direct && scope == PeerLoads.Scope.OWN) {
                reportedPlaces.add(place);
            } else if (!direct && scope == PeerLoads.Scope.GATHERED) {
                gatheredPlaces.add(place);
            }
        }
    }

    private void followers(FleetProtos.LoadReport report, long now) {
        int count = Math.min(
                report.getFollowersCount(),
                Math.min(report.getFollowerAnswersCount(), report.getFollowerMillisCount()));
        for (int i = 0; i < count; i++) {
            StoreFollowerElection.Follower follower = new StoreFollowerElection.Follower(
                    report.getFollowers(i), report.getFollowerAnswers(i), report.getFollowerMillis(i));
            publications.followerElection().heard(follower, now);
        }
    }

    /** Stands for a process's name in reports, which go out ten times a second. */
    private static int id(String name) {
        return (int) Rendezvous.weight(FOLLOWER, name);
    }
}
