package org.dotterelcourse.coordination.grant;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.dotterelcourse.coordination.grant.GrantFleet.FleetRequest;

import static org.assertj.core.api.Assertions.assertThat;

/** One member of a {@link GrantFleet}: its asker, its owner while it has one, and the requests it sent to workers. */
final class GrantNode {
    final String name;
    private final GrantFleet fleet;
    private final long clockOffset;
    private final Map<Long, FleetRequest> asks = new HashMap<>();
    private final Map<Long, GrantId> grants = new HashMap<>();
    private final Map<Long, Long> endsAt = new HashMap<>();
    private final Map<Long, Long> useAt = new HashMap<>();
    private final List<LossyNetwork.Packet> inbox = new ArrayList<>();
    private long life = 1;
    private long pausedUntil;
    private Optional<String> nextView = Optional.empty();
    private long nextViewAt = GrantFleet.NEVER;
    private CellClient client;
    CellOwner owner;
    boolean alive = true;
    int localFraction = 1;

    GrantNode(GrantFleet fleet, String name, long clockOffset) {
        this.fleet = fleet;
        this.name = name;
        this.clockOffset = clockOffset;
        this.client = newClient();
    }

    long clock() {
        return fleet.now + clockOffset;
    }

    int size() {
        return client.size();
    }

    boolean isLocalMode() {
        return client.isLocalMode();
    }

    void sees(Optional<String> view, long at) {
        nextView = view;
        nextViewAt = at;
    }

    void pause(long nanos) {
        pausedUntil = fleet.now + nanos;
    }

    boolean paused() {
        return fleet.now < pausedUntil;
    }

    /** The process dies: its connections to the workers break, and its callers with them. */
    void crash() {
        alive = false;
        owner = null;
        inbox.clear();
        useAt.clear();
        for (FleetRequest request : asks.values()) {
            if (request.worker != null && !request.answered) {
                fleet.stopped(request);
            }
            request.answered = true;
        }
        asks.clear();
        grants.clear();
        endsAt.clear();
    }

    void restart() {
        life++;
        alive = true;
        client = newClient();
    }

    void ask(FleetRequest request) {
        byte[] terms = ByteBuffer.allocate(Integer.BYTES).putInt(request.id).array();
        ClientEffect.Asked asked =
                client.ask(request.arrivalNanos, request.arrivalNanos + GrantFleet.NEVER, terms, clock());
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
        for (Map.Entry<Long, Long> end : endsAt.entrySet()) {
            if (end.getValue() <= fleet.now) {
                ended.add(end.getKey());
            }
        }
        for (Long ask : ended) {
            if (!asks.get(ask).answered) {
                fleet.stopped(asks.get(ask));
            }
        }
        if (!alive || paused()) {
            return;
        }
        ended.forEach(this::release);
        // Of what happens in the same step, what waited for the process to wake up comes first: a grant that it was
        // about to use, before any message that could tell it better.
        use();
        List<LossyNetwork.Packet> packets = List.copyOf(inbox);
        inbox.clear();
        packets.forEach(this::handle);
        if (nextViewAt <= fleet.now) {
            nextViewAt = GrantFleet.NEVER;
            changeOwner();
        }
        perform(client.advance(clock()));
        if (owner != null) {
            performOwner(owner.advance(clock()));
        }
    }

    private void changeOwner() {
        boolean own = nextView.equals(Optional.of(name));
        if (own && owner == null) {
            owner = CellOwner.builder(
                            "cell", new FifoArbiter(GrantFleet.capacity(GrantFleet.PLACES), 1_000), fleet.random)
                    .settings(fleet.settings)
                    .expectedClients(fleet.living(fleet.wire.partitionOf(name)))
                    .takeOver(clock());
        } else if (!own && owner != null) {
            performOwner(owner.resign(nextView.orElse(""), clock()));
            owner = null;
        }
        perform(client.ownerChanged(nextView, clock()));
    }

    private void handle(LossyNetwork.Packet packet) {
        GrantMessage message = ((GrantCodec.Decoded.Message) GrantCodec.decode(packet.body())).message();
        if (message instanceof GrantMessage.ToClient reply) {
            perform(client.onMessage(packet.from(), reply, clock()));
        } else if (message instanceof GrantMessage.ToOwner request && owner != null) {
            performOwner(owner.onMessage(packet.from(), request, clock()));
        } else if (message instanceof GrantMessage.ToOwner request) {
            send(packet.from(), CellOwner.notOwner(request, ""));
        }
    }

    private void use() {
        for (Long ask : List.copyOf(useAt.keySet())) {
            if (useAt.get(ask) > fleet.now) {
                continue;
            }
            useAt.remove(ask);
            GrantCheck check = client.tryUse(ask, clock());
            FleetRequest request = asks.get(ask);
            if (check instanceof GrantCheck.Usable usable) {
                assertThat(client.tryUse(ask, clock())).isInstanceOf(GrantCheck.NotHeld.class);
                assertThat(fleet.expired).as("leases that ended").doesNotContain(grants.get(ask));
                fleet.started(request, usable.worker());
                endsAt.put(ask, fleet.now + request.durationNanos);
            } else if (check instanceof GrantCheck.LeaseExpired stale) {
                asks.remove(ask);
                perform(stale.effects());
                ask(request);
            }
        }
    }

    private void release(Long ask) {
        endsAt.remove(ask);
        asks.remove(ask);
        perform(client.release(ask, new byte[] {1}, clock()));
    }

    private void perform(List<ClientEffect> effects) {
        for (ClientEffect effect : effects) {
            if (effect instanceof ClientEffect.Send send) {
                send(send.to(), send.message());
            } else if (effect instanceof ClientEffect.Granted granted) {
                grants.put(granted.ask(), granted.grant());
                useAt.put(granted.ask(), fleet.now + fleet.random.nextLong(2 * GrantFleet.STEP));
            } else if (effect instanceof ClientEffect.Refused refused) {
                fleet.notRun(asks.remove(refused.ask()));
            } else if (effect instanceof ClientEffect.DeadlinePassed passed) {
                fleet.notRun(asks.remove(passed.ask()));
            }
        }
    }

    private void performOwner(List<OwnerEffect> effects) {
        for (OwnerEffect effect : effects) {
            if (effect instanceof OwnerEffect.Send send) {
                send(send.to(), send.message());
            } else if (effect instanceof OwnerEffect.LeaseExpired lease) {
                fleet.leasesExpired++;
                fleet.expired.add(lease.grant());
            }
        }
    }

    private void send(String to, GrantMessage message) {
        fleet.wire.send(name, to, GrantCodec.encode(message), fleet.now);
    }

    private CellClient newClient() {
        FifoArbiter local = new FifoArbiter(GrantFleet.capacity(localFraction), 1_000);
        return new CellClient("cell", life, fleet.settings, local, fleet.random);
    }
}
