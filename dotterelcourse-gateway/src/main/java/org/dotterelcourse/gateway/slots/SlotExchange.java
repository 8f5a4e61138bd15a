package org.dotterelcourse.gateway.slots;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import org.dotterelcourse.coordination.grant.GrantCodec;
import org.dotterelcourse.coordination.grant.GrantMessage;
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
import org.dotterelcourse.gateway.Poller;
import org.dotterelcourse.gateway.forward.Forwarder;
import org.dotterelcourse.gateway.forward.SlotSource;
import org.dotterelcourse.gateway.metrics.GatewayMetrics;
import org.dotterelcourse.gateway.workers.WorkerEntry;
import org.dotterelcourse.policy.rate.SlotLedger;
import org.jboss.logging.Logger;
import reactor.core.publisher.Mono;

/**
 * Exchanges the messages by which the processes of the fleet ask for slots of brittle workers. The slots of each worker are
 * granted by one process, which all determine alike by rendezvous hashing over the members. Idle while no worker is brittle.
 */
public final class SlotExchange implements Service, SlotSource {
    /** Name of this service in the kernel. */
    public static final ServiceName<SlotExchange> NAME = new ServiceName<>("slot-exchange", SlotExchange.class);

    private static final Logger LOG = Logger.getLogger(SlotExchange.class);
    private static final String CHANNEL = "gateway-slots";

    /** Requests that wait are granted a slot within this time after a pause, or rejected when they may not wait longer. */
    private static final long TICK_MILLIS = 20;

    private final Map<String, SlotCell> cells = new HashMap<>();
    private final RandomGenerator random = RandomGenerator.getDefault();
    private final Map<String, Member> membersByName = new HashMap<>();
    private final CellEnvironment environment = new CellEnvironment();
    private GatewayLoop loop;
    private GatewayState state;
    private Peers peers;
    private PeerTransport transport;
    private List<Member> knownView = List.of();
    private List<String> owners = List.of();
    private Poller poller;
    private Counter asked;
    private Counter granted;
    private Counter rejected;
    private Counter sentBytes;

    @Override
    public ServiceName<SlotExchange> name() {
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
        asked = metrics.counter("gateway.slots.asked");
        granted = metrics.counter("gateway.slots.granted");
        rejected = metrics.counter("gateway.slots.rejected");
        sentBytes = metrics.counter("gateway.slots.sent-bytes");
        poller = new Poller(loop, TICK_MILLIS, this::tick);
        transport.registerHandler(CHANNEL, message -> loop.execute(() -> receive(message)));
        kernel.find(Forwarder.NAME).grantSlotsThrough(this);
        return List.of();
    }

    @Override
    public void stop() {
        // The timer ends with the event loop; slots still held expire at their owner.
    }

    @Override
    public Mono<Result> ask(WorkerEntry worker, Request request) {
        return Mono.<Result>create(sink -> {
                    asked.inc();
                    double maxRejections = state.workers().brittle().maxRejections(worker, loop.nowNanos());
                    SlotTerms terms = new SlotTerms(request.maxWaitMillis(), request.priority(), maxRejections);
                    cell(worker.id()).ask(terms, request.arrivalNanos(), sink);
                })
                .doOnNext(result -> (result instanceof Result.Granted ? granted : rejected).inc());
    }

    private SlotCell cell(String worker) {
        updateOwners();
        SlotCell cell = cells.get(worker);
        if (cell == null) {
            cell = new SlotCell(worker, environment, random);
            cells.put(worker, cell);
            cell.updateOwner(owner(worker), random);
        }
        poller.start();
        return cell;
    }

    /** Returns whether requests wait for a slot or hold one. */
    private boolean tick() {
        updateOwners();
        Map.copyOf(cells).forEach((worker, cell) -> {
            if (!cell.isIdle()) {
                advance(worker, cell);
            }
        });
        cells.entrySet()
                .removeIf(cell -> cell.getValue().isIdle()
                        && state.workers().find(cell.getKey()).isEmpty());
        return cells.values().stream().anyMatch(cell -> !cell.isIdle());
    }

    private static void advance(String worker, SlotCell cell) {
        try {
            cell.advance();
        } catch (RuntimeException e) {
            LOG.errorf(e, "failed to grant slots of worker %s, those of other workers are still granted", worker);
        }
    }

    private void updateOwners() {
        List<Member> view = peers.view();
        if (view == knownView) {
            return;
        }
        knownView = view;
        membersByName.clear();
        view.forEach(member -> membersByName.put(member.name(), member));
        owners = view.stream()
                .filter(member -> member.state() != MemberState.DEAD)
                .map(Member::name)
                .toList();
        cells.forEach((worker, cell) -> cell.updateOwner(owner(worker), random));
    }

    private String owner(String worker) {
        String best = peers.self();
        long bestWeight = Rendezvous.weight(worker, best);
        for (String each : owners) {
            long weight = Rendezvous.weight(worker, each);
            if (Long.compareUnsigned(weight, bestWeight) > 0) {
                best = each;
                bestWeight = weight;
            }
        }
        return best;
    }

    private void receive(PeerMessage message) {
        String from = message.sender().name();
        if (GrantCodec.decode(message.body()) instanceof GrantCodec.Decoded.Message decoded) {
            receive(from, decoded.message());
        } else {
            LOG.warnf("message about slots of workers from %s can't be read, it is ignored", from);
        }
    }

    private void receive(String from, GrantMessage message) {
        if (message instanceof GrantMessage.ToOwner || cells.containsKey(message.cell())) {
            cell(message.cell()).receive(from, message);
        }
    }

    /** What the cells need of this process. */
    private final class CellEnvironment implements SlotCell.Environment {
        @Override
        public String self() {
            return peers.self();
        }

        @Override
        public long incarnation() {
            return peers.incarnation();
        }

        @Override
        public long nowNanos() {
            return loop.nowNanos();
        }

        @Override
        public void send(String to, GrantMessage message) {
            if (to.equals(peers.self())) {
                loop.execute(() -> receive(to, message));
                return;
            }
            Member member = membersByName.get(to);
            if (member != null) {
                byte[] body = GrantCodec.encode(message);
                sentBytes.inc(body.length);
                transport.send(member.address(), CHANNEL, body);
            }
        }

        @Override
        public SlotLedger.Bounds bounds(String worker) {
            return state.workers().brittle().slotBounds(worker, loop.nowNanos());
        }

        @Override
        public SlotLedger.Bounds ownPart(String worker) {
            return state.workers().brittle().ownSlotBounds(worker, loop.nowNanos());
        }

        @Override
        public void onLocalMode(String worker, boolean isLocal) {
            LOG.infof(
                    isLocal
                            ? "no process answers that grants slots of worker %s, this process uses its own part of them"
                            : "slots of worker %s are granted by another process again",
                    worker);
        }
    }
}
