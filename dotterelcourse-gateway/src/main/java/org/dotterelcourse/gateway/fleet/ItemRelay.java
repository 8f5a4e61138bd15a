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
 * Passes published items between processes: changes from one that follows the store to all others, by way of one process
 * of each other data centre, so that they cross between data centres once; and everything to one that is behind.
 *
 * <p>Without it, a process that the store turns away would go on with revoked keys and gone workers for as long as that
 * lasts, and every process would have to follow the store by itself.
 */
public final class ItemRelay implements Service {
    /** The name that it is found by. */
    public static final ServiceName<ItemRelay> NAME = new ServiceName<>("item-relay", ItemRelay.class);

    private static final Logger LOG = Logger.getLogger(ItemRelay.class);
    private static final String ITEMS_REQUEST = "gateway-items-request";
    private static final String ITEMS = "gateway-items";

    /** How long a process may be behind a peer until it asks; the changes are mostly on their way. */
    private static final long BEHIND_MILLIS = 150;

    private GatewayLoop loop;
    private Publications publications;
    private Peers peers;
    private PeerTransport transport;
    private boolean asking;
    private StorePosition highestHeard = StorePosition.NONE;

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
                message -> loop.execute(() -> itemsWanted(message.sender().name())));
        transport.registerHandler(
                ITEMS, message -> loop.execute(() -> items(message.sender().name(), message.body())));
        publications.onRead(this::push);
        return List.of();
    }

    @Override
    public void stop() {
        // It holds no resources.
    }

    /**
     * A peer has told up to which position it knows everything.
     *
     * @param peer its name
     * @param position the position
     */
    void heard(String peer, StorePosition position) {
        highestHeard = position.isAfter(highestHeard) ? position : highestHeard;
        boolean behind = highestHeard.isAfter(publications.position());
        publications.followerElection().behind(behind, loop.nowNanos());
        if (behind && !asking) {
            asking = true;
            loop.runAfter(BEHIND_MILLIS, () -> askIfBehind(peer, position));
        }
    }

    private void askIfBehind(String peer, StorePosition position) {
        asking = false;
        if (position.isAfter(publications.position())) {
            FleetProtos.ItemsRequest request = FleetProtos.ItemsRequest.newBuilder()
                    .setRevision(publications.position().revision())
                    .setEra(publications.position().era())
                    .build();
            peers.send(peer, ITEMS_REQUEST, request.toByteArray());
        }
    }

    private void itemsWanted(String peer) {
        FleetProtos.Items items = encode(publications.live(), publications.position())
                .setHoldMillis((int) publications.holdMillis())
                .build();
        peers.send(peer, ITEMS, items.toByteArray());
    }

    /** Changes that this process has read from the store go to its data centre and to one process of each other one. */
    private void push(List<PublishedItem> changes, StorePosition after, StorePosition upTo) {
        byte[] body = encode(changes, upTo)
                .setAfter(after.revision())
                .setAfterEra(after.era())
                .setHoldMillis((int) publications.holdMillis())
                .build()
                .toByteArray();
        sendNear(body);
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

    private void sendNear(byte[] body) {
        for (Member member : peers.view()) {
            boolean other = !member.name().equals(peers.self()) && member.state() != MemberState.DEAD;
            if (other && near(member)) {
                FleetMessages.send(transport, member, ITEMS, body);
            }
        }
    }

    private boolean near(Member member) {
        return member.payload().dataCentre().equals(peers.dataCentre());
    }

    private boolean far(String peer) {
        return peers.view().stream().anyMatch(member -> member.name().equals(peer) && !near(member));
    }

    private static FleetProtos.Items.Builder encode(List<PublishedItem> published, StorePosition position) {
        FleetProtos.Items.Builder items =
                FleetProtos.Items.newBuilder().setRevision(position.revision()).setEra(position.era());
        for (PublishedItem item : published) {
            items.addItems(FleetProtos.Item.newBuilder()
                    .setKey(item.key())
                    .setValue(ByteString.copyFrom(item.value()))
                    .setRevision(item.revision())
                    .setDeleted(item.deleted()));
        }
        return items;
    }

    private void items(String peer, byte[] body) {
        FleetProtos.Items items;
        try {
            items = FleetProtos.Items.parseFrom(body);
        } catch (InvalidProtocolBufferException e) {
            LOG.warn("items of a peer can't be read", e);
            return;
        }
        List<PublishedItem> published = items.getItemsList().stream()
                .map(item -> new PublishedItem(
                        item.getKey(), item.getValue().toByteArray(), item.getRevision(), item.getDeleted()))
                .toList();
        publications.hold(items.getHoldMillis());
        StorePosition position = new StorePosition(items.getEra(), items.getRevision());
        if (items.hasAfter()) {
            boolean ahead = position.isAfter(publications.position());
            StorePosition after = new StorePosition(items.getAfterEra(), items.getAfter());
            boolean news = publications.applyRelayedChanges(published, after, position);
            if ((news || ahead) && far(peer) && plan().isRelay()) {
                sendNear(body);
            }
        } else {
            publications.state(published, position);
        }
    }
}
