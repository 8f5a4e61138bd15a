package org.dotterelcourse.coordination.grant;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.dotterelcourse.coordination.grant.GrantFleet.FleetRequest;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * One member of a {@link GrantFleet}: its client, its owner while it owns the cell, and the requests that it sent to
 * workers.
 */
final class GrantNode {
    final String name;
    private final GrantFleet fleet;
    private final long clockOffsetNanos;
    private final Map<Long, FleetRequest> asks = new HashMap<>();
    private final Map<Long, GrantId> grants = new HashMap<>();
    private final Map<Long, Long> endNanosByAsk = new HashMap<>();
    private final Map<Long, Long> useNanosByAsk = new HashMap<>();
    private final List<LossyNetwork.Packet> inbox = new ArrayList<>();
    private long life = 1;
    private long pausedUntilNanos;
    private Optional<String> nextOwnerView = Optional.empty();
    private long nextOwnerViewNanos = GrantFleet.NEVER_NANOS;
    private CellClient client;
    CellOwner owner;
    boolean alive = true;
    int localSlots = 1;

    GrantNode(GrantFleet fleet, String name, long clockOffsetNanos) {
        this.fleet = fleet;
        this.name = name;
        this.clockOffsetNanos = clockOffsetNanos;
        this.client = newClient();
    }

    long clockNanos() {
        return fleet.nowNanos + clockOffsetNanos;
    }

    int size() {
        return client.size();
    }

    boolean isLocalMode() {
        return client.isLocalMode();
    }

    void setOwnerView(Optional<String> view, long atNanos) {
        nextOwnerView = view;
        nextOwnerViewNanos = atNanos;
    }

    void pause(long nanos) {
        pausedUntilNanos = fleet.nowNanos + nanos;
    }

    boolean isPaused() {
        return fleet.nowNanos < pausedUntilNanos;
    }

    /** Simulates a crash of the process, which closes its connections to the workers and to its callers. */
    void crash() {
        alive = false;
        owner = null;
        inbox.clear();
        useNanosByAsk.clear();
        for (FleetRequest request : asks.values()) {
            if (request.worker != null && !request.answered) {
                fleet.recordStop(request);
            }
            request.answered = true;
        }
        asks.clear();
        grants.clear();
        endNanosByAsk.clear();
    }

    void restart() {
        life++;
        alive = true;
        client = newClient();
    }

    void ask(FleetRequest request) {
        byte[] terms = ByteBuffer.allocate(Integer.BYTES).putInt(request.id).array();
        ClientEffect.Asked asked =
                client.ask(request.arrivalNanos, request.arrivalNanos + GrantFleet.NEVER_NANOS, terms, clockNanos());
        asks.put(asked.ask(), request);
        perform(asked.effects());
    }

    void receive(LossyNetwork.Packet packet) {
        if (alive) {
            inbox.add(packet);
        }
    }

    void step() {
        List<Long> ended = new ArrayList<>();
        for (Map.Entry<Long, Long> end : endNanosByAsk.entrySet()) {
            if (end.getValue() <= fleet.nowNanos) {
                ended.add(end.getKey());
            }
        }
        for (Long ask : ended) {
            if (!asks.get(ask).answered) {
                fleet.recordStop(asks.get(ask));
            }
        }
        if (!alive || isPaused()) {
            return;
        }
        ended.forEach(this::release);
        // Uses grants before it handles messages of the same step. This is the worst case after a pause: the process
        // uses the grant before a message that revokes it.
        usePendingGrants();
        List<LossyNetwork.Packet> packets = List.copyOf(inbox);
        inbox.clear();
        packets.forEach(this::handle);
        if (nextOwnerViewNanos <= fleet.nowNanos) {
            nextOwnerViewNanos = GrantFleet.NEVER_NANOS;
            changeOwner();
        }
        perform(client.advance(clockNanos()));
        if (owner != null) {
            performOwner(owner.advance(clockNanos()));
        }
    }

    private void changeOwner() {
        boolean isOwner = nextOwnerView.equals(Optional.of(name));
        if (isOwner && owner == null) {
            owner = CellOwner.builder(
                            "cell", new FifoArbiter(GrantFleet.capacity(GrantFleet.SLOTS), 1_000), fleet.random)
                    .settings(fleet.settings)
                    .expectedClients(fleet.liveMembers(fleet.network.partitionOf(name)))
                    .takeOver(clockNanos());
        } else if (!isOwner && owner != null) {
            performOwner(owner.resign(nextOwnerView.orElse(""), clockNanos()));
            owner = null;
        }
        perform(client.ownerChanged(nextOwnerView, clockNanos()));
    }

    private void handle(LossyNetwork.Packet packet) {
        GrantMessage message = ((GrantCodec.Decoded.Message) GrantCodec.decode(packet.body())).message();
        if (message instanceof GrantMessage.ToClient reply) {
            perform(client.onMessage(packet.from(), reply, clockNanos()));
        } else if (message instanceof GrantMessage.ToOwner request && owner != null) {
            performOwner(owner.onMessage(packet.from(), request, clockNanos()));
        } else if (message instanceof GrantMessage.ToOwner request) {
            send(packet.from(), CellOwner.notOwner(request, ""));
        }
    }

    private void usePendingGrants() {
        for (Long ask : List.copyOf(useNanosByAsk.keySet())) {
            if (useNanosByAsk.get(ask) > fleet.nowNanos) {
                continue;
            }
            useNanosByAsk.remove(ask);
            GrantCheck check = client.tryUse(ask, clockNanos());
            FleetRequest request = asks.get(ask);
            if (check instanceof GrantCheck.Usable usable) {
                assertThat(client.tryUse(ask, clockNanos())).isInstanceOf(GrantCheck.NotHeld.class);
                assertThat(fleet.expiredGrants).as("leases that ended").doesNotContain(grants.get(ask));
                fleet.recordStart(request, usable.worker());
                endNanosByAsk.put(ask, fleet.nowNanos + request.durationNanos);
            } else if (check instanceof GrantCheck.LeaseExpired expired) {
                asks.remove(ask);
                perform(expired.effects());
                ask(request);
            }
        }
    }

    private void release(Long ask) {
        endNanosByAsk.remove(ask);
        asks.remove(ask);
        perform(client.release(ask, new byte[] {1}, clockNanos()));
    }

    private void perform(List<ClientEffect> effects) {
        for (ClientEffect effect : effects) {
            if (effect instanceof ClientEffect.Send send) {
                send(send.to(), send.message());
            } else if (effect instanceof ClientEffect.Granted granted) {
                grants.put(granted.ask(), granted.grant());
                useNanosByAsk.put(granted.ask(), fleet.nowNanos + fleet.random.nextLong(2 * GrantFleet.STEP_NANOS));
            } else if (effect instanceof ClientEffect.Refused refused) {
                fleet.recordNotRun(asks.remove(refused.ask()));
            } else if (effect instanceof ClientEffect.DeadlinePassed passed) {
                fleet.recordNotRun(asks.remove(passed.ask()));
            }
        }
    }

    private void performOwner(List<OwnerEffect> effects) {
        for (OwnerEffect effect : effects) {
            if (effect instanceof OwnerEffect.Send send) {
                send(send.to(), send.message());
            } else if (effect instanceof OwnerEffect.LeaseExpired lease) {
                fleet.expiredLeases++;
                fleet.expiredGrants.add(lease.grant());
            }
        }
    }

    private void send(String to, GrantMessage message) {
        fleet.network.send(name, to, GrantCodec.encode(message), fleet.nowNanos);
    }

    private CellClient newClient() {
        FifoArbiter local = new FifoArbiter(GrantFleet.capacity(localSlots), 1_000);
        return new CellClient("cell", life, fleet.settings, local, fleet.random);
    }
}
