package org.dotterelcourse.gateway.fleet;

import java.util.List;

import com.google.protobuf.ByteString;
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
import org.dotterelcourse.gateway.published.Publications;
import org.dotterelcourse.gateway.published.PublishedItem;
import org.dotterelcourse.gateway.published.StorePosition;
import org.jboss.logging.Logger;

/**
 * Relays published items between processes. A process that follows the store sends changes to all processes of its data
 * centre and to one relay in each other data centre, which forwards them there, so that each change is sent to another
 * data centre only once. A process that has missed changes requests a snapshot from a peer.
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

    /** How long a process that lags behind a peer waits for the missing changes before it requests a snapshot. */
    private static final long SNAPSHOT_REQUEST_DELAY_MILLIS = 150;

    private GatewayLoop loop;
    private Publications publications;
    private Peers peers;
    private PeerTransport transport;
    private boolean requestScheduled;
    private StorePosition highestPosition = StorePosition.NONE;

    @Override
    public ServiceName<ItemRelay> name() {
        return NAME;
    }

    @Override
    public List<ServiceName<?>> dependencies() {
        return List.of(GatewayLoop.NAME, Publications.NAME, Peers.NAME);
    }

    @Override
    public List<StartupFailure> start(Kernel kernel) {
        loop = kernel.find(GatewayLoop.NAME);
        publications = kernel.find(Publications.NAME);
        peers = kernel.find(Peers.NAME);
        transport = peers.transport();
        transport.registerHandler(
                ITEMS_REQUEST,
                message -> loop.execute(() -> sendSnapshot(message.sender().name())));
        transport.registerHandler(
                ITEMS, message -> loop.execute(() -> receive(message.sender().name(), message.body())));
        publications.setReadListener(this::distribute);
        return List.of();
    }

    @Override
    public void stop() {
        // Holds no resources.
    }

    /**
     * Records the position up to which a peer knows all changes, and schedules a request for a snapshot if this process
     * lags behind any peer.
     *
     * @param peer name of the peer
     * @param position position of the peer
     */
    void recordPeerPosition(String peer, StorePosition position) {
        highestPosition = position.isAfter(highestPosition) ? position : highestPosition;
        boolean stale = highestPosition.isAfter(publications.position());
        publications.followerElection().recordStaleness(stale, loop.nowNanos());
        if (stale && !requestScheduled) {
            requestScheduled = true;
            loop.runAfter(SNAPSHOT_REQUEST_DELAY_MILLIS, () -> requestIfStale(peer, position));
        }
    }

    private void requestIfStale(String peer, StorePosition position) {
        requestScheduled = false;
        if (position.isAfter(publications.position())) {
            FleetProtos.ItemsRequest request = FleetProtos.ItemsRequest.newBuilder()
                    .setRevision(publications.position().revision())
                    .setEra(publications.position().era())
                    .build();
            peers.send(peer, ITEMS_REQUEST, request.toByteArray());
        }
    }

    private void sendSnapshot(String peer) {
        FleetProtos.Items message = encode(publications.live(), publications.position())
                .setHoldMillis((int) publications.deletionHoldMillis())
                .build();
        peers.send(peer, ITEMS, message.toByteArray());
    }

    /**
     * Sends changes that this process has read from the store to its data centre and to the relay of each other one.
     */
    private void distribute(List<PublishedItem> changes, StorePosition after, StorePosition upTo) {
        byte[] body = encode(changes, upTo)
                .setAfter(after.revision())
                .setAfterEra(after.era())
                .setHoldMillis((int) publications.deletionHoldMillis())
                .build()
                .toByteArray();
        sendWithinDataCentre(body);
        List<String> relays = plan().otherRelays();
        for (Member member : peers.view()) {
            if (relays.contains(member.name())) {
                FleetMessages.send(transport, member, ITEMS, body);
            }
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

    private static FleetProtos.Items.Builder encode(List<PublishedItem> items, StorePosition position) {
        FleetProtos.Items.Builder message =
                FleetProtos.Items.newBuilder().setRevision(position.revision()).setEra(position.era());
        for (PublishedItem item : items) {
            message.addItems(FleetProtos.Item.newBuilder()
                    .setKey(item.key())
                    .setValue(ByteString.copyFrom(item.value()))
                    .setRevision(item.revision())
                    .setDeleted(item.deleted()));
        }
        return message;
    }

    private void receive(String peer, byte[] body) {
        FleetProtos.Items message;
        try {
            message = FleetProtos.Items.parseFrom(body);
        } catch (InvalidProtocolBufferException e) {
            LOG.warn("items sent by a peer can't be read, the message is ignored", e);
            return;
        }
        List<PublishedItem> items = message.getItemsList().stream()
                .map(item -> new PublishedItem(
                        item.getKey(), item.getValue().toByteArray(), item.getRevision(), item.getDeleted()))
                .toList();
        publications.holdDeletions(message.getHoldMillis());
        StorePosition position = new StorePosition(message.getEra(), message.getRevision());
        if (message.hasAfter()) {
            boolean ahead = position.isAfter(publications.position());
            StorePosition after = new StorePosition(message.getAfterEra(), message.getAfter());
            boolean hasNewChanges = publications.applyRelayedChanges(items, after, position);
            if ((hasNewChanges || ahead) && isRemote(peer) && plan().isRelay()) {
                sendWithinDataCentre(body);
            }
        } else {
            publications.applySnapshot(items, position);
        }
    }
}
