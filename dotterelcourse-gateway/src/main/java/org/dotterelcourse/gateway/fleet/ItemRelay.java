package org.dotterelcourse.gateway.fleet;

import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BiConsumer;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import com.google.protobuf.InvalidProtocolBufferException;
import org.dotterelcourse.coordination.collect.CollectorPlan;
import org.dotterelcourse.coordination.membership.Member;
import org.dotterelcourse.coordination.membership.MemberState;
import org.dotterelcourse.coordination.transport.PeerTransport;
import org.dotterelcourse.daemon.kernel.Kernel;
import org.dotterelcourse.daemon.kernel.Service;
import org.dotterelcourse.daemon.kernel.ServiceName;
import org.dotterelcourse.daemon.kernel.StartupFailure;
import org.dotterelcourse.daemon.peers.Peers;
import org.dotterelcourse.gateway.GatewayLoop;
import org.dotterelcourse.gateway.fleet.generated.FleetProtos;
import org.dotterelcourse.gateway.metrics.GatewayMetrics;
import org.dotterelcourse.gateway.published.Publications;
import org.dotterelcourse.gateway.published.PublishedItem;
import org.dotterelcourse.gateway.published.StorePosition;
import org.jboss.logging.Logger;

/**
 * Relays published items between processes. A process that follows the store sends changes to all processes of its data
 * centre and to one relay in each other data centre, which forwards them there, so that each change is sent to another
 * data centre only once. A process that has missed changes requests them from a peer.
 *
 * <p>Answers the load of large configurations: 412 KB sent to each of eight receivers occupy a link of 7 Mbit/s for 3.8
 * s. Changes above a size are therefore compressed and sent along a {@link ForwardingTree}. They use a channel of their
 * own, because a process that does not know compressed items would take such a message for one without changes.
 *
 * <p>Without the relay, a process that the store rejects would continue to use revoked keys and removed workers for as
 * long as the store rejects it, and every process would have to poll the store itself.
 */
public final class ItemRelay implements Service {
    /** Name of this service in the kernel. */
    public static final ServiceName<ItemRelay> NAME = new ServiceName<>("item-relay", ItemRelay.class);

    private static final Logger LOG = Logger.getLogger(ItemRelay.class);
    private static final String ITEMS_REQUEST = "gateway-items-request";
    private static final String ITEMS = "gateway-items";

    /** Channels of the processes that know compressed items. */
    private static final String COMPRESSED_ITEMS_REQUEST = "gateway-items-request-compressed";

    private static final String COMPRESSED_ITEMS = "gateway-items-compressed";

    /** How long a process that lags behind a peer waits for the missing changes before it requests them. */
    private static final long REQUEST_DELAY_MILLIS = 150;

    /**
     * How long a process waits for the response to a request before the next one. A response with 18,000 customers takes
     * 140 ms on a link of 7 Mbit/s; a repeated request would only lengthen the queue on that link.
     */
    private static final long RESPONSE_TIMEOUT_MILLIS = 450;

    private static final long NANOS_PER_MILLI = 1_000_000L;
    private static final long LOG_INTERVAL_NANOS = 10_000 * NANOS_PER_MILLI;

    /** A process that has requested compressed items understands them, unless it was replaced by an earlier version. */
    private static final long COMPRESSION_KNOWN_NANOS = 10_000 * NANOS_PER_MILLI;

    private final int compressAboveBytes;
    private final ResponseDelay responseDelay = new ResponseDelay();
    private final Map<String, Long> compressedRequestNanos = new HashMap<>();
    private final Set<String> delayedPeers = new HashSet<>();
    private GatewayLoop loop;
    private Publications publications;
    private Peers peers;
    private PeerTransport transport;
    private Counter compressedMessages;
    private Counter forwardedMessages;
    private Counter invalidMessages;
    private Counter requests;
    private boolean requestScheduled;
    private long responseDueNanos;
    private boolean peerLacksCompression;
    private long nextInvalidLogNanos;
    private String peerAhead = "";
    private StorePosition peerPosition = StorePosition.NONE;
    private StorePosition highestPosition = StorePosition.NONE;

    /**
     * Creates the service.
     *
     * @param compressAboveBytes size in bytes above which a message with items is compressed and sent along a tree
     */
    public ItemRelay(int compressAboveBytes) {
        this.compressAboveBytes = compressAboveBytes;
    }

    @Override
    public ServiceName<ItemRelay> name() {
        return NAME;
    }

    @Override
    public List<ServiceName<?>> dependencies() {
        return List.of(GatewayLoop.NAME, GatewayMetrics.NAME, Publications.NAME, Peers.NAME);
    }

    @Override
    public List<StartupFailure> start(Kernel kernel) {
        loop = kernel.find(GatewayLoop.NAME);
        publications = kernel.find(Publications.NAME);
        peers = kernel.find(Peers.NAME);
        transport = peers.transport();
        responseDueNanos = loop.nowNanos();
        nextInvalidLogNanos = loop.nowNanos();
        MetricRegistry registry = kernel.find(GatewayMetrics.NAME).registry();
        compressedMessages = registry.counter("gateway.configuration.compressed-messages");
        forwardedMessages = registry.counter("gateway.configuration.forwarded-messages");
        invalidMessages = registry.counter("gateway.configuration.invalid-messages");
        requests = registry.counter("gateway.configuration.requests-to-peers");
        registerHandler(ITEMS_REQUEST, (peer, body) -> handleRequest(peer, body, false));
        registerHandler(COMPRESSED_ITEMS_REQUEST, (peer, body) -> handleRequest(peer, body, true));
        registerHandler(ITEMS, this::receive);
        registerHandler(COMPRESSED_ITEMS, this::receive);
        publications.setReadListener(this::distribute);
        publications.setSnapshotListener(this::distributeSnapshot);
        return List.of();
    }

    private void registerHandler(String channel, BiConsumer<String, byte[]> handler) {
        transport.registerHandler(
                channel,
                message -> loop.execute(() -> handler.accept(message.sender().name(), message.body())));
    }

    @Override
    public void stop() {
        // Holds no resources.
    }

    /**
     * Records the position up to which a peer knows all changes, and schedules a request for the missing ones if this
     * process lags behind any peer.
     *
     * @param peer name of the peer
     * @param position position of the peer
     */
    void recordPeerPosition(String peer, StorePosition position) {
        responseDelay.recordPeerPosition(peer, position);
        highestPosition = position.isAfter(highestPosition) ? position : highestPosition;
        boolean stale = highestPosition.isAfter(publications.position());
        publications.followerElection().recordStaleness(stale, loop.nowNanos());
        peerLacksCompression = peerLacksCompression && stale;
        if (position.isAfter(publications.position())) {
            peerAhead = peer;
            peerPosition = position;
        }
        if (stale && !requestScheduled) {
            requestScheduled = true;
            long responseMillis = (responseDueNanos - loop.nowNanos()) / NANOS_PER_MILLI;
            loop.runAfter(Math.max(REQUEST_DELAY_MILLIS, responseMillis), this::requestIfStale);
        }
    }

    /** Requests missing changes. Every second request can be understood by a peer that does not know compressed items. */
    private void requestIfStale() {
        requestScheduled = false;
        if (peerPosition.isAfter(publications.position())) {
            FleetProtos.ItemsRequest request = FleetProtos.ItemsRequest.newBuilder()
                    .setRevision(publications.position().revision())
                    .setEra(publications.position().era())
                    .build();
            String channel = peerLacksCompression ? ITEMS_REQUEST : COMPRESSED_ITEMS_REQUEST;
            peerLacksCompression = !peerLacksCompression;
            responseDueNanos = loop.nowNanos() + RESPONSE_TIMEOUT_MILLIS * NANOS_PER_MILLI;
            requests.inc();
            peers.send(peerAhead, channel, request.toByteArray());
        }
    }

    /**
     * Responds to a request, after a delay if a large message is on its way to the peer. A peer that has lately requested
     * compressed items gets them as well if it repeats the request on the old channel, because it had no response in time.
     */
    private void handleRequest(String peer, byte[] body, boolean compressed) {
        StorePosition after;
        try {
            FleetProtos.ItemsRequest request = FleetProtos.ItemsRequest.parseFrom(body);
            after = new StorePosition(request.getEra(), request.getRevision());
        } catch (InvalidProtocolBufferException e) {
            rejectMessage(peer, e);
            return;
        }
        long nowNanos = loop.nowNanos();
        if (compressed) {
            compressedRequestNanos.put(peer, nowNanos);
        }
        Long lastNanos = compressedRequestNanos.get(peer);
        boolean knowsCompression = lastNanos != null && nowNanos - lastNanos < COMPRESSION_KNOWN_NANOS;
        long delayMillis = responseDelay.delayMillis(after, nowNanos);
        if (delayMillis == 0) {
            respond(peer, after, knowsCompression);
        } else if (delayedPeers.add(peer)) {
            loop.runAfter(delayMillis, () -> {
                delayedPeers.remove(peer);
                if (!responseDelay.hasArrived(peer)) {
                    respond(peer, after, knowsCompression);
                }
            });
        }
    }

    /** Sends a peer the changes that it has missed, or all items if these changes are not known. */
    private void respond(String peer, StorePosition after, boolean compressed) {
        Optional<List<PublishedItem>> changes = publications.changesAfter(after);
        FleetProtos.Items.Builder message = ItemsCodec.encode(
                        changes.orElseGet(publications::live), publications.position())
                .setHoldMillis((int) publications.deletionHoldMillis());
        if (changes.isPresent()) {
            message.setAfter(after.revision()).setAfterEra(after.era());
        }
        FleetProtos.Items plain = message.build();
        if (compressed && plain.getSerializedSize() > compressAboveBytes) {
            compressedMessages.inc();
            peers.send(peer, COMPRESSED_ITEMS, ItemsCodec.compress(plain).toByteArray());
        } else {
            peers.send(peer, ITEMS, plain.toByteArray());
        }
    }

    /**
     * Sends changes that this process has read from the store to its data centre and to the relay of each other one.
     * Large ones are sent along a tree, unless a peer has already sent them here: then it has sent them to all others.
     */
    private void distribute(List<PublishedItem> changes, StorePosition after, StorePosition upTo, boolean hasNew) {
        FleetProtos.Items message = ItemsCodec.encode(changes, upTo)
                .setAfter(after.revision())
                .setAfterEra(after.era())
                .setHoldMillis((int) publications.deletionHoldMillis())
                .build();
        if (message.getSerializedSize() > compressAboveBytes) {
            if (hasNew) {
                compressedMessages.inc();
                responseDelay.recordLargeMessage(upTo, loop.nowNanos());
                sendAlongTree(ItemsCodec.compress(message), otherMembers());
            }
            return;
        }
        byte[] body = message.toByteArray();
        sendWithinDataCentre(body);
        List<String> relays = plan().otherRelays();
        for (Member member : peers.view()) {
            if (relays.contains(member.name())) {
                FleetMessages.send(transport, member, ITEMS, body);
            }
        }
    }

    private void distributeSnapshot() {
        FleetProtos.Items message = ItemsCodec.encode(publications.live(), publications.position())
                .setHoldMillis((int) publications.deletionHoldMillis())
                .build();
        compressedMessages.inc();
        responseDelay.recordLargeMessage(publications.position(), loop.nowNanos());
        sendAlongTree(ItemsCodec.compress(message), otherMembers());
    }

    /** Returns all other members that are not dead; suspected ones last, so that they don't forward for others. */
    private List<Member> otherMembers() {
        return peers.view().stream()
                .filter(member -> !member.name().equals(peers.self()) && member.state() != MemberState.DEAD)
                .sorted(Comparator.comparing(member -> member.state() != MemberState.ALIVE))
                .toList();
    }

    private void sendAlongTree(FleetProtos.Items message, List<Member> receivers) {
        List<ForwardingTree.Receiver> names = receivers.stream()
                .map(member -> new ForwardingTree.Receiver(
                        member.name(), member.payload().dataCentre()))
                .toList();
        for (ForwardingTree.Branch branch : ForwardingTree.divide(names, peers.dataCentre())) {
            FleetProtos.Items part = message.toBuilder()
                    .clearForwardTo()
                    .addAllForwardTo(branch.forwardTo())
                    .build();
            peers.send(branch.name(), COMPRESSED_ITEMS, part.toByteArray());
        }
    }

    private CollectorPlan plan() {
        return CollectorPlan.of(peers.self(), peers.view());
    }

    private void sendWithinDataCentre(byte[] body) {
        for (Member member : peers.view()) {
            boolean isOther = !member.name().equals(peers.self()) && member.state() != MemberState.DEAD;
            if (isOther && isLocal(member)) {
                FleetMessages.send(transport, member, ITEMS, body);
            }
        }
    }

    private boolean isLocal(Member member) {
        return member.payload().dataCentre().equals(peers.dataCentre());
    }

    private boolean isRemote(String peer) {
        return peers.view().stream().anyMatch(member -> member.name().equals(peer) && !isLocal(member));
    }

    private void receive(String peer, byte[] body) {
        FleetProtos.Items message;
        List<PublishedItem> items;
        try {
            message = FleetProtos.Items.parseFrom(body);
            items = ItemsCodec.items(message);
        } catch (InvalidProtocolBufferException e) {
            rejectMessage(peer, e);
            return;
        }
        publications.holdDeletions(message.getHoldMillis());
        StorePosition position = new StorePosition(message.getEra(), message.getRevision());
        boolean isNew = position.isAfter(publications.position());
        if (message.hasAfter()) {
            StorePosition after = new StorePosition(message.getAfterEra(), message.getAfter());
            isNew = publications.applyRelayedChanges(items, after, position) || isNew;
        } else {
            publications.applySnapshot(items, position);
        }
        if (isNew && !message.getCompressedItems().isEmpty()) {
            responseDelay.recordLargeMessage(position, loop.nowNanos());
        }
        if (isNew) {
            forward(peer, message, body);
        }
    }

    /**
     * Forwards changes that were new here. Those that a peer had already sent are not forwarded again, because that peer
     * has sent them to all others as well.
     */
    private void forward(String peer, FleetProtos.Items message, byte[] body) {
        if (message.getForwardToCount() > 0) {
            Set<String> names = Set.copyOf(message.getForwardToList());
            forwardedMessages.inc();
            sendAlongTree(
                    message,
                    otherMembers().stream()
                            .filter(member -> names.contains(member.name()))
                            .toList());
        } else if (message.hasAfter() && message.getCompressedItems().isEmpty() && isRemote(peer) && plan().isRelay()) {
            sendWithinDataCentre(body);
        }
    }

    /** Ignores a message. This process then lags behind its peers, and requests the changes. */
    private void rejectMessage(String peer, InvalidProtocolBufferException error) {
        invalidMessages.inc();
        if (loop.nowNanos() - nextInvalidLogNanos >= 0) {
            nextInvalidLogNanos = loop.nowNanos() + LOG_INTERVAL_NANOS;
            LOG.warnf(
                    "items sent by a peer can't be read, the message of %s is ignored and the items are requested: %s",
                    peer, error.getMessage());
        }
    }
}
