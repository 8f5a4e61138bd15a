package org.dotterelcourse.gateway.fleet;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

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
import org.dotterelcourse.gateway.Poller;
import org.dotterelcourse.gateway.fleet.generated.FleetProtos;
import org.dotterelcourse.gateway.metrics.GatewayMetrics;
import org.dotterelcourse.gateway.published.Publications;
import org.dotterelcourse.gateway.published.StoreFollowerElection;
import org.dotterelcourse.gateway.published.StorePosition;
import org.dotterelcourse.gateway.workers.PeerLoads;
import org.dotterelcourse.policy.quarantine.CrashNotice;
import org.dotterelcourse.policy.rate.LimitNotice;
import org.dotterelcourse.policy.selection.CachedPrefixes;
import org.jboss.logging.Logger;

/**
 * Exchanges load reports with peers, which also carry notices about workers and the state of store followers. In a
 * small fleet each process reports to all others; in a larger one, reports are aggregated according to the {@link
 * CollectorPlan}.
 *
 * <p>Each process selects workers by itself. Without the loads of its peers, each of eight processes would see an
 * eighth of the load, and all would select the same worker.
 */
public final class FleetExchange implements Service {
    /** Name of this service in the kernel. */
    public static final ServiceName<FleetExchange> NAME = new ServiceName<>("fleet-exchange", FleetExchange.class);

    private static final Logger LOG = Logger.getLogger(FleetExchange.class);
    private static final String LOADS = "gateway-loads";

    /** Period of unchanged reports, which are repeated so that they don't expire at the peers. */
    private static final long UNCHANGED_PERIOD_MILLIS = 500;

    /** How long an unresponsive collector is excluded. By then, membership has detected whether it is dead. */
    private static final long EXCLUSION_MILLIS = 5_000;

    /** Receivers for which reports become due together. */
    private enum Receivers {
        ALL,
        COLLECTORS,
        REPORTERS
    }

    private static final String FOLLOWER_HASH_KEY = "follower";

    private static final long NANOS_PER_MILLI = 1_000_000L;

    private final Map<String, Long> reporters = new HashMap<>();
    private final Map<String, Long> excludedCollectors = new HashMap<>();
    private GatewayLoop loop;
    private GatewayState state;
    private Publications publications;
    private ItemRelay relay;
    private TimingExchange timings;
    private Peers peers;
    private PeerTransport transport;
    private List<Member> plannedView = List.of();
    private final PlanSchedule planSchedule = new PlanSchedule();
    private CollectorPlan plan;

    /** Names of the other processes that are not dead according to membership. */
    private List<String> others = List.of();

    private final List<CachedPrefixes.PartLocation> reportedLocations = new ArrayList<>();
    private final List<CachedPrefixes.PartLocation> gatheredLocations = new ArrayList<>();
    private String collector = "";
    private long lastCollectorReportNanos;
    private final Map<Receivers, SentReport> lastSent = new EnumMap<>(Receivers.class);
    private final Map<String, Member> membersByName = new HashMap<>();
    private ReportEncoder encoder;
    private ExchangeMetrics metrics;
    private int reportedRows;

    /** The loads and the position last sent to a group of receivers, with the time of the report. */
    private record SentReport(LoadColumns loads, StorePosition position, long atNanos) {}

    @Override
    public ServiceName<FleetExchange> name() {
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
                ItemRelay.NAME);
    }

    @Override
    public List<StartupFailure> start(Kernel kernel) {
        loop = kernel.find(GatewayLoop.NAME);
        state = kernel.find(GatewayState.NAME);
        publications = kernel.find(Publications.NAME);
        relay = kernel.find(ItemRelay.NAME);
        peers = kernel.find(Peers.NAME);
        transport = peers.transport();
        metrics = new ExchangeMetrics(kernel.find(GatewayMetrics.NAME).registry(), state.workers());
        timings = new TimingExchange(state, kernel.find(GatewayMetrics.NAME).registry());
        encoder = new ReportEncoder(state, publications, timings);
        transport.registerHandler(
                LOADS, message -> loop.execute(() -> receive(message.sender().name(), message.body())));
        Poller reports = new Poller(run -> loop.runAtNextMultiple(reportPeriodMillis(), run), this::sendReports);
        loop.runAfter(ReportPeriods.MIN_DIRECT_MILLIS, () -> {
            reports.start();
            sendReports();
        });
        return List.of();
    }

    @Override
    public void stop() {
        // The timer ends with the event loop.
    }

    private long reportPeriodMillis() {
        return plan == null || plan.isDirect()
                ? ReportPeriods.directMillis(others.size(), loop.lagMillis())
                : ReportPeriods.collectedMillis(reportedRows, loop.lagMillis());
    }

    /** Returns true: reports are sent until the process ends. */
    private boolean sendReports() {
        long nowNanos = loop.nowNanos();
        List<Member> view = peers.view();
        if (plan != null && view != plannedView && CollectorPlan.isSame(plannedView, view)) {
            // Payloads and addresses have changed only.
            plannedView = view;
            view.forEach(member -> membersByName.put(member.name(), member));
        }
        if (plan == null || view != plannedView && planSchedule.isDue(view.size(), loop.lagMillis(), nowNanos)) {
            plannedView = view;
            planSchedule.recordPlan(nowNanos);
            plan = CollectorPlan.of(peers.self(), view);
            publications
                    .followerElection()
                    .updateRanking(
                            id(peers.self()),
                            plan.readerCandidates().stream()
                                    .map(FleetExchange::id)
                                    .toList(),
                            plan.readerCount());
            membersByName.clear();
            view.forEach(member -> membersByName.put(member.name(), member));
            others = view.stream().filter(this::isOther).map(Member::name).toList();
            timings.retainPeers(others);
            state.workers().updateFleet(peers.self(), others, nowNanos);
            state.quarantine().scheduleReminders();
            state.workers().limits().scheduleReminders();
            state.workers().brittle().statements().scheduleReminders();
        }
        state.updateFleetSize(others.size() + 1);
        state.updateTimings(nowNanos);
        encoder.beginPeriod(nowNanos);
        if (plan.isDirect()) {
            reportToAll(nowNanos);
        } else {
            reportByPlan(nowNanos);
        }
        return true;
    }

    private boolean isOther(Member member) {
        return !member.name().equals(peers.self()) && member.state() != MemberState.DEAD;
    }

    /** Reports to all processes, in a small fleet. */
    private void reportToAll(long nowNanos) {
        LoadColumns own = new LoadColumns(state.workers().localLoads(nowNanos));
        List<CachedPrefixes.PartLocation> locations = state.cachedPrefixes().drainUnreported();
        if (!recordIfDue(Receivers.ALL, own, locations, nowNanos)) {
            return;
        }
        byte[] report = encoder.encode(FleetProtos.LoadReport.Kind.OWN, "", own.encode(), locations);
        for (Member member : plannedView) {
            if (isOther(member)) {
                send(member, report);
            }
        }
    }

    /** Returns whether a report to a group of receivers is due, and if so records it as sent. */
    private boolean recordIfDue(
            Receivers receivers, LoadColumns loads, List<CachedPrefixes.PartLocation> locations, long nowNanos) {
        SentReport last = lastSent.get(receivers);
        boolean due = last == null
                || !locations.isEmpty()
                || encoder.hasNotices()
                || nowNanos - last.atNanos() >= UNCHANGED_PERIOD_MILLIS * NANOS_PER_MILLI
                || publications.followerElection().hasChangedSince(last.atNanos())
                || !publications.position().equals(last.position())
                || loads.isNews(last.loads());
        if (due) {
            lastSent.put(receivers, new SentReport(loads, publications.position(), nowNanos));
        } else {
            metrics.recordUnchanged();
        }
        return due;
    }

    private void reportByPlan(long nowNanos) {
        long timeoutNanos = ReportPeriods.timeoutNanos(loop.lagMillis());
        reporters.values().removeIf(lastReport -> nowNanos - lastReport > timeoutNanos);
        List<CachedPrefixes.PartLocation> locations = state.cachedPrefixes().drainUnreported();
        String assigned = assignedCollector(nowNanos);
        reportedRows = 0;
        if (!assigned.isEmpty()) {
            LoadColumns own = new LoadColumns(state.workers().localLoads(nowNanos));
            reportedRows = own.rows();
            if (recordIfDue(Receivers.ALL, own, locations, nowNanos)) {
                send(assigned, encoder.encode(FleetProtos.LoadReport.Kind.OWN, "", own.encode(), locations));
            }
        }
        locations.addAll(reportedLocations);
        if (plan.isCollector()) {
            LoadColumns sum = new LoadColumns(state.workers().aggregatedLoads(nowNanos));
            if (recordIfDue(Receivers.COLLECTORS, sum, locations, nowNanos)) {
                byte[] gathered = encoder.encode(FleetProtos.LoadReport.Kind.GATHERED, "", sum.encode(), locations);
                plan.otherCollectors().forEach(other -> send(other, gathered));
            }
        }
        locations.addAll(gatheredLocations);
        if (!reporters.isEmpty()) {
            reportToReporters(locations, nowNanos);
        }
        reportedLocations.clear();
        gatheredLocations.clear();
    }

    /** Sends each reporter the loads of all others: the same sums, except for the workers that the reporter uses. */
    private void reportToReporters(List<CachedPrefixes.PartLocation> locations, long nowNanos) {
        LoadColumns all = new LoadColumns(state.workers().collectedLoads().all(nowNanos));
        reportedRows = all.rows();
        if (!recordIfDue(Receivers.REPORTERS, all, locations, nowNanos)) {
            return;
        }
        for (String reporter : reporters.keySet()) {
            byte[] rest = all.encode(state.workers().collectedLoads().changesExcluding(reporter, nowNanos));
            send(reporter, encoder.encode(FleetProtos.LoadReport.Kind.OTHERS, reporter, rest, locations));
        }
    }

    /** Returns the collector to report to, or "" if there is none. Passes over one whose reports have stopped. */
    private String assignedCollector(long nowNanos) {
        excludedCollectors.values().removeIf(since -> nowNanos - since > EXCLUSION_MILLIS * NANOS_PER_MILLI);
        String assigned = plan.collector(excludedCollectors.keySet()).orElse("");
        if (!assigned.equals(collector)) {
            collector = assigned;
            lastCollectorReportNanos = nowNanos;
        } else if (!assigned.isEmpty()
                && nowNanos - lastCollectorReportNanos > ReportPeriods.timeoutNanos(loop.lagMillis())) {
            LOG.infof("collector %s says nothing, reporting to another one", assigned);
            excludedCollectors.put(assigned, nowNanos);
            return plan.collector(excludedCollectors.keySet()).orElse("");
        }
        return assigned;
    }

    private void send(String name, byte[] report) {
        Member member = membersByName.get(name);
        if (member != null) {
            send(member, report);
        }
    }

    private void send(Member member, byte[] report) {
        metrics.recordSent(report.length);
        FleetMessages.send(transport, member, LOADS, report);
    }

    private void receive(String peer, byte[] body) {
        long nowNanos = loop.nowNanos();
        metrics.recordReceived(body.length);
        FleetProtos.LoadReport report;
        Map<Integer, PeerLoads.Load> loads;
        List<CrashNotice> crashes;
        List<LimitNotice> limits;
        List<LimitNotice> brittle;
        try {
            report = FleetProtos.LoadReport.parseFrom(body);
            loads = LoadCodec.decode(report.getWorkers());
            crashes = CrashNoticeCodec.decode(report.getCrashes());
            limits = LimitNoticeCodec.decode(report.getLimits());
            brittle = LimitNoticeCodec.decode(report.getBrittle());
        } catch (InvalidProtocolBufferException | IllegalArgumentException e) {
            LOG.warnf(e, "load report of %s can't be read, the report is ignored", peer);
            return;
        }
        PeerLoads.Scope scope = scope(report.getKind());
        if (scope == PeerLoads.Scope.OWN) {
            if (reporters.put(peer, nowNanos) == null) {
                // A new reporter gets a report in the next period, also if nothing has changed.
                lastSent.remove(Receivers.REPORTERS);
            }
        } else if (scope == PeerLoads.Scope.OTHERS && peer.equals(collector)) {
            lastCollectorReportNanos = nowNanos;
        }
        state.workers().recordPeerLoads(peer, scope, loads, nowNanos);
        crashes.forEach(crash -> state.applyCrashNotice(crash, nowNanos));
        brittle.forEach(notice -> state.statements().applyBrittlenessNotice(notice, peer, nowNanos));
        limits.forEach(limit -> state.statements().applyLimitNotice(limit, peer, nowNanos));
        timings.receive(peer, scope, report, nowNanos);
        PartitionWorkCodec.record(peer, scope, report, state, nowNanos);
        recordLocations(scope, report, nowNanos);
        recordFollowers(report, nowNanos);
        relay.recordPeerPosition(peer, new StorePosition(report.getEra(), report.getRevision()));
    }

    static PeerLoads.Scope scope(FleetProtos.LoadReport.Kind kind) {
        return switch (kind) {
            case GATHERED -> PeerLoads.Scope.GATHERED;
            case OTHERS -> PeerLoads.Scope.OTHERS;
            default -> PeerLoads.Scope.OWN;
        };
    }

    private void recordLocations(PeerLoads.Scope scope, FleetProtos.LoadReport report, long nowNanos) {
        boolean direct = plan == null || plan.isDirect();
        int count = Math.min(report.getPartsCount(), report.getPartWorkersCount());
        for (int i = 0; i < count; i++) {
            CachedPrefixes.PartLocation location =
                    new CachedPrefixes.PartLocation(report.getParts(i), report.getPartWorkers(i));
            state.cachedPrefixes().recordPeerReport(location, nowNanos);
            if (!direct && scope == PeerLoads.Scope.OWN) {
                reportedLocations.add(location);
            } else if (!direct && scope == PeerLoads.Scope.GATHERED) {
                gatheredLocations.add(location);
            }
        }
    }

    private void recordFollowers(FleetProtos.LoadReport report, long nowNanos) {
        int count = Math.min(
                report.getFollowersCount(),
                Math.min(report.getFollowerAnswersCount(), report.getFollowerMillisCount()));
        for (int i = 0; i < count; i++) {
            StoreFollowerElection.Follower follower = new StoreFollowerElection.Follower(
                    report.getFollowers(i), report.getFollowerAnswers(i), report.getFollowerMillis(i));
            publications.followerElection().recordFollower(follower, nowNanos);
        }
    }

    /**
     * Returns a hash that identifies a process in reports. Shorter than the name, as reports are sent ten times a
     * second.
     */
    private static int id(String name) {
        return (int) Rendezvous.weight(FOLLOWER_HASH_KEY, name);
    }
}
