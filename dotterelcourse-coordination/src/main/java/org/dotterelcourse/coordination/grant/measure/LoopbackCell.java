package org.dotterelcourse.coordination.grant.measure;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.random.RandomGenerator;

import org.dotterelcourse.coordination.grant.CellClient;
import org.dotterelcourse.coordination.grant.CellOwner;
import org.dotterelcourse.coordination.grant.ClientEffect;
import org.dotterelcourse.coordination.grant.FifoArbiter;
import org.dotterelcourse.coordination.grant.GrantCodec;
import org.dotterelcourse.coordination.grant.GrantMessage;
import org.dotterelcourse.coordination.grant.GrantSettings;
import org.dotterelcourse.coordination.grant.OwnerEffect;

/** One owner and several clients in one thread. Their messages are encoded, decoded and counted. */
final class LoopbackCell {
    static final byte[] TERMS = new byte[120];
    static final byte[] OBSERVATION = new byte[24];

    /** One hour, so that no ask reaches its deadline during a measurement. */
    static final long REQUEST_TIMEOUT_NANOS = 3_600_000_000_000L;

    private static final String CELL = "sabla-llm/0";
    private static final GrantSettings SETTINGS =
            GrantSettings.builder().maxAsks(1_000_000).build();

    private final RandomGenerator random = new SplittableRandom(1);
    private final List<CellClient> clients = new ArrayList<>();
    private final Deque<Runnable> undelivered = new ArrayDeque<>();
    private final List<Long> grantedAsks = new ArrayList<>();
    private CellOwner owner;
    private String ownerName = "";
    private long messages;
    private long bytes;
    private long nowNanos;

    LoopbackCell(int clientCount) {
        for (int i = 0; i < clientCount; i++) {
            clients.add(new CellClient(CELL, 1, SETTINGS, new FifoArbiter(Map.of(), 0), random));
        }
    }

    /** Makes a new owner take over the cell, and delivers all messages. */
    void takeOver(String name, int capacity) {
        ownerName = name;
        owner = CellOwner.builder(CELL, new FifoArbiter(Map.of("llm-1", capacity), Integer.MAX_VALUE), random)
                .settings(SETTINGS)
                .takeOver(nowNanos);
        for (int i = 0; i < clients.size(); i++) {
            perform(i, clients.get(i).ownerChanged(Optional.of(name), nowNanos));
        }
        deliver();
    }

    void settle() {
        nowNanos += SETTINGS.settleNanos();
        performOwner(owner.advance(nowNanos));
        deliver();
    }

    /** Sends one ask by one client, delivers all resulting messages and returns the number of the ask. */
    long ask(int client) {
        ClientEffect.Asked asked =
                clients.get(client).ask(nowNanos, nowNanos + REQUEST_TIMEOUT_NANOS, TERMS.clone(), nowNanos);
        perform(client, asked.effects());
        deliver();
        return asked.ask();
    }

    void release(int client, long ask) {
        clients.get(client).tryUse(ask, nowNanos);
        perform(client, clients.get(client).release(ask, OBSERVATION, nowNanos));
        deliver();
    }

    /** Sends one renewal by each client, and delivers all messages. */
    void renew() {
        nowNanos += SETTINGS.renewNanos();
        for (int i = 0; i < clients.size(); i++) {
            perform(i, clients.get(i).advance(nowNanos));
        }
        deliver();
    }

    CellOwner owner() {
        return owner;
    }

    CellClient firstClient() {
        return clients.get(0);
    }

    long messages() {
        return messages;
    }

    long bytes() {
        return bytes;
    }

    void resetCounters() {
        messages = 0;
        bytes = 0;
        grantedAsks.clear();
    }

    void dropOwner() {
        owner = null;
    }

    private void perform(int client, List<ClientEffect> effects) {
        for (ClientEffect effect : effects) {
            if (effect instanceof ClientEffect.Send send) {
                byte[] body = encode(send.message());
                undelivered.add(() -> performOwner(
                        owner.onMessage(Integer.toString(client), (GrantMessage.ToOwner) decode(body), nowNanos)));
            } else if (effect instanceof ClientEffect.Granted grant) {
                grantedAsks.add(grant.ask());
            }
        }
    }

    private void performOwner(List<OwnerEffect> effects) {
        for (OwnerEffect effect : effects) {
            if (effect instanceof OwnerEffect.Send send) {
                int client = Integer.parseInt(send.to());
                byte[] body = encode(send.message());
                undelivered.add(() -> perform(
                        client,
                        clients.get(client).onMessage(ownerName, (GrantMessage.ToClient) decode(body), nowNanos)));
            }
        }
    }

    private void deliver() {
        while (!undelivered.isEmpty()) {
            undelivered.removeFirst().run();
        }
    }

    private byte[] encode(GrantMessage message) {
        byte[] body = GrantCodec.encode(message);
        messages++;
        bytes += body.length;
        return body;
    }

    private static GrantMessage decode(byte[] body) {
        return ((GrantCodec.Decoded.Message) GrantCodec.decode(body)).message();
    }
}
