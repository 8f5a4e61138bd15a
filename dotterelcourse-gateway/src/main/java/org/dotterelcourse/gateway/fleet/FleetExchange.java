package org.dotterelcourse.gateway.fleet;

import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import org.dotterelcourse.coordination.membership.Member;
import org.dotterelcourse.coordination.membership.MemberState;
import org.dotterelcourse.coordination.transport.PeerTransport;
import org.dotterelcourse.daemon.kernel.Kernel;
import org.dotterelcourse.daemon.kernel.Service;
import org.dotterelcourse.daemon.kernel.ServiceName;
import org.dotterelcourse.daemon.kernel.StartFinding;
import org.dotterelcourse.daemon.peers.Peers;
import org.dotterelcourse.gateway.GatewayLoop;
import org.dotterelcourse.gateway.GatewayState;
import org.dotterelcourse.gateway.fleet.generated.FleetProtos;
import org.dotterelcourse.gateway.published.Publications;
import org.dotterelcourse.gateway.published.PublishedItem;
import org.dotterelcourse.gateway.workers.PeerLoads;
import org.dotterelcourse.policy.selection.PaceWork;
import org.jboss.logging.Logger;

/**
 * Tells all peers what this process has in flight, and relays published items to peers that are behind.
 *
 * <p>Each process places requests by itself; without its peers' figures, eight of them would each see an eighth of the
 * load and all choose the same worker. Without the relay, a process that the store turns away would go on with revoked
 * keys and gone workers for as long as that lasts.
 */
public final class FleetExchange implements Service {
    /** The name that it is found by. */
    public static final ServiceName<FleetExchange> NAME = new ServiceName<>("fleet-exchange", FleetExchange.class);

    private static final Logger LOG = Logger.getLogger(FleetExchange.class);
    private static final String LOADS = "gateway-loads";
    private static final String ITEMS_REQUEST = "gateway-items-request";
    private static final String ITEMS = "gateway-items";

    /** Shortest period: about the time that a plain call takes; faster news would be about calls that have ended. */
    private static final long SHORTEST_PERIOD_MILLIS = 50;

    /** With every peer, the period grows by this much, so that a process handles some 140 reports a second at most. */
    private static final long MILLIS_PER_PEER = 7;

    /** Reports that say the same again are sent only this often, so that they don't run out at the peers. */
    private static final long UNCHANGED_PERIOD_MILLIS = 500;

    /** How long a process may be behind a peer until it asks; its own watch of the store mostly comes first. */
    private static final long BEHIND_MILLIS = 150;

    private static final int MOST_DATAGRAM_BYTES = 1_100;
    private static final long NANOS_PER_MILLI = 1_000_000L;

    private GatewayLoop loop;
    private GatewayState state;
    private Publications publications;
    private Peers peers;
    private PeerTransport transport;
    private Map<String, PeerLoads.Load> lastTold = Map.of();
    private long lastToldNanos;
    private boolean asking;

    @Override
    public ServiceName<FleetExchange> name() {
        return NAME;
    }

    @Override
    public List<ServiceName<?>> dependencies() {
        return List.of(GatewayLoop.NAME, GatewayState.NAME, Publications.NAME, Peers.NAME);
    }

    @Override
    public List<StartFinding> start(Kernel kernel) {
        loop = kernel.find(GatewayLoop.NAME);
        state = kernel.find(GatewayState.NAME);
        publications = kernel.find(Publications.NAME);
        peers = kernel.find(Peers.NAME);
        transport = peers.transport();
        transport.receive(
                LOADS, message -> loop.execute(() -> loads(message.sender().name(), message.body())));
        transport.receive(
                ITEMS_REQUEST,
                message -> loop.execute(() -> itemsWanted(message.sender().name())));
        transport.receive(ITEMS, message -> loop.execute(() -> items(message.body())));
        loop.after(SHORTEST_PERIOD_MILLIS, this::tell);
        return List.of();
    }

    @Override
    public void stop() {
        // Its timer ends with the loop.
    }

    private List<Member> others() {
        return peers.view().stream()
                .filter(member -> !member.name().equals(peers.self()))
                .filter(member -> member.state() != MemberState.DEAD)
                .toList();
    }

    private void tell() {
        List<Member> others = others();
        state.processes(others.size() + 1);
        long now = loop.nowNanos();
        Map<String, PeerLoads.Load> own = state.workers().own();
        boolean due = now - lastToldNanos >= UNCHANGED_PERIOD_MILLIS * NANOS_PER_MILLI;
        if (due || !own.equals(lastTold)) {
            lastTold = own;
            lastToldNanos = now;
            byte[] report = report(own);
            others.forEach(member -> sendReport(member, report));
        }
        loop.after(Math.max(SHORTEST_PERIOD_MILLIS, MILLIS_PER_PEER * others.size()), this::tell);
    }

    private void sendReport(Member member, byte[] report) {
        if (report.length <= MOST_DATAGRAM_BYTES) {
            transport.sendDatagram(member.address(), LOADS, report);
        } else {
            transport.send(member.address(), LOADS, report);
        }
    }

    private byte[] report(Map<String, PeerLoads.Load> own) {
        FleetProtos.LoadReport.Builder report =
                FleetProtos.LoadReport.newBuilder().setRevision(publications.revision());
        own.forEach((id, load) -> report.addWorkers(FleetProtos.WorkerLoad.newBuilder()
                .setId(id)
                .setInFlight(load.inFlight())
                .setInteractive(load.interactive())
                .setPrefillMillis((int) Math.round(load.prefillMillis()))));
        state.splits()
                .forEach((upstream, split) -> report.addUpstreams(FleetProtos.UpstreamWork.newBuilder()
                        .setUpstream(upstream)
                        .addAllMillisByPace(Arrays.stream(split.own().millis())
                                .mapToObj(Math::round)
                                .toList())));
        return report.build().toByteArray();
    }

    private void loads(String peer, byte[] body) {
        FleetProtos.LoadReport report;
        try {
            report = FleetProtos.LoadReport.parseFrom(body);
        } catch (InvalidProtocolBufferException e) {
            LOG.warnf(e, "a load report of %s can't be read", peer);
            return;
        }
        Map<String, PeerLoads.Load> loads = new HashMap<>();
        for (FleetProtos.WorkerLoad each : report.getWorkersList()) {
            loads.put(
                    each.getId(),
                    new PeerLoads.Load(each.getInFlight(), each.getInteractive(), each.getPrefillMillis()));
        }
        state.workers().peerLoad(peer, loads, loop.nowNanos());
        for (FleetProtos.UpstreamWork work : report.getUpstreamsList()) {
            double[] millis = work.getMillisByPaceList().stream()
                    .mapToDouble(Long::doubleValue)
                    .toArray();
            if (millis.length == PaceWork.none().millis().length) {
                state.split(work.getUpstream()).peer(peer, new PaceWork(millis), loop.nowNanos());
            }
        }
        if (report.getRevision() > publications.revision() && !asking) {
            asking = true;
            loop.after(BEHIND_MILLIS, () -> askIfBehind(peer, report.getRevision()));
        }
    }

    private void askIfBehind(String peer, long revision) {
        asking = false;
        if (publications.revision() < revision) {
            FleetProtos.ItemsRequest request = FleetProtos.ItemsRequest.newBuilder()
                    .setRevision(publications.revision())
                    .build();
            peers.send(peer, ITEMS_REQUEST, request.toByteArray());
        }
    }

    private void itemsWanted(String peer) {
        FleetProtos.Items.Builder items = FleetProtos.Items.newBuilder().setRevision(publications.revision());
        for (PublishedItem item : publications.live()) {
            items.addItems(FleetProtos.Item.newBuilder()
                    .setKey(item.key())
                    .setValue(ByteString.copyFrom(item.value()))
                    .setRevision(item.revision()));
        }
        peers.send(peer, ITEMS, items.build().toByteArray());
    }

    private void items(byte[] body) {
        try {
            FleetProtos.Items items = FleetProtos.Items.parseFrom(body);
            List<PublishedItem> whole = items.getItemsList().stream()
                    .map(item ->
                            new PublishedItem(item.getKey(), item.getValue().toByteArray(), item.getRevision(), false))
                    .toList();
            publications.state(whole, items.getRevision());
        } catch (InvalidProtocolBufferException e) {
            LOG.warn("items of a peer can't be read", e);
        }
    }
}
