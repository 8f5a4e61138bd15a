package org.dotterelcourse.gateway.fleet;

import java.util.List;

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
import org.dotterelcourse.gateway.fleet.generated.FleetProtos;
import org.dotterelcourse.gateway.published.Publications;
import org.dotterelcourse.gateway.published.PublishedItem;
import org.jboss.logging.Logger;

/**
 * Passes published items between processes: changes from the one that follows the store to all others in its data centre,
 * and everything to one that is behind.
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
    private long highestHeard;

    @Override
    public ServiceName<ItemRelay> name() {
        return NAME;
    }

    @Override
    public List<ServiceName<?>> dependencies() {
        return List.of(GatewayLoop.NAME, Publications.NAME, Peers.NAME);
    }

    @Override
    public List<StartFinding> start(Kernel kernel) {
        loop = kernel.find(GatewayLoop.NAME);
        publications = kernel.find(Publications.NAME);
        peers = kernel.find(Peers.NAME);
        transport = peers.transport();
        transport.receive(
                ITEMS_REQUEST,
                message -> loop.execute(() -> itemsWanted(message.sender().name())));
        transport.receive(ITEMS, message -> loop.execute(() -> items(message.body())));
        publications.onRead(this::push);
        return List.of();
    }

    @Override
    public void stop() {
        // It holds no resources.
    }

    /**
     * A peer has told which revision it knows.
     *
     * @param peer its name
     * @param revision the revision
     */
    void heard(String peer, long revision) {
        highestHeard = Math.max(highestHeard, revision);
        boolean behind = publications.revision() < highestHeard;
        publications.duty().behind(behind, loop.nowNanos());
        if (behind && !asking) {
            asking = true;
            loop.after(BEHIND_MILLIS, () -> askIfBehind(peer, revision));
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
        FleetProtos.Items items = encode(publications.live(), publications.revision())
                .setHoldMillis((int) publications.holdMillis())
                .build();
        peers.send(peer, ITEMS, items.toByteArray());
    }

    /** Changes that this process has read from the store go to those in its data centre that rest. */
    private void push(List<PublishedItem> changes, long after, long upTo) {
        byte[] body = encode(changes, upTo)
                .setAfter(after)
                .setHoldMillis((int) publications.holdMillis())
                .build()
                .toByteArray();
        List<Member> view = peers.view();
        String dataCentre = view.isEmpty() ? "" : view.get(0).payload().dataCentre();
        for (Member member : view) {
            boolean near = member.payload().dataCentre().equals(dataCentre);
            if (!near || member.name().equals(peers.self()) || member.state() == MemberState.DEAD) {
                continue;
            }
            FleetMessages.send(transport, member, ITEMS, body);
        }
    }

    private static FleetProtos.Items.Builder encode(List<PublishedItem> published, long revision) {
        FleetProtos.Items.Builder items = FleetProtos.Items.newBuilder().setRevision(revision);
        for (PublishedItem item : published) {
            items.addItems(FleetProtos.Item.newBuilder()
                    .setKey(item.key())
                    .setValue(ByteString.copyFrom(item.value()))
                    .setRevision(item.revision())
                    .setDeleted(item.deleted()));
        }
        return items;
    }

    private void items(byte[] body) {
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
        if (items.hasAfter()) {
            publications.relayed(published, items.getAfter(), items.getRevision());
        } else {
            publications.state(published, items.getRevision());
        }
    }
}
