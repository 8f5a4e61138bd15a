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

/** One owner and some askers in one thread; messages between them are encoded and decoded, and counted. */
final class Loop {
    static final byte[] TERMS = new byte[120];
    static final byte[] OBSERVATION = new byte[24];
    static final long FAR = 3_600_000_000_000L;

    private static final String CELL = "sabla-llm/0";
    private static final GrantSettings SETTINGS =
            GrantSettings.builder().maxAsks(1_000_000).build();

    private final RandomGenerator random = new SplittableRandom(1);
    private final List<CellClient> clients = new ArrayList<>();
    private final Deque<Runnable> queue = new ArrayDeque<>();
    private final List<Long> granted = new ArrayList<>();
    private CellOwner owner;
    private String ownerName = "";
    private long messages;
    private long bytes;
    private long now;

    Loop(int askers) {
        for (int i = 0; i < askers; i++) {
            clients.add(new CellClient(CELL, 1, SETTINGS, new FifoArbiter(Map.of(), 0), random));
        }
    }

    /** Gives the cell to a new owner and lets every message arrive. */
    void takeOver(String name, int capacity) {
        ownerName = name;
        owner = CellOwner.builder(CELL, new FifoArbiter(Map.of("llm-1", capacity), Integer.MAX_VALUE), random)
                .settings(SETTINGS)
                .takeOver(now);
        for (int i = 0; i < clients.size(); i++) {
            perform(i, clients.get(i).ownerChanged(Optional.of(name), now));
        }
        deliver();
    }

    void settle() {
        now += SETTINGS.settleNanos();
        performOwner(owner.advance(now));
        deliver();
    }

    /** One ask at one asker; what it leads to has happened on return. */
    long ask(int asker) {
        ClientEffect.Asked asked = clients.get(asker).ask(now, now + FAR, TERMS.clone(), now);
        perform(asker, asked.effects());
        deliver();
        return asked.ask();
    }

    void release(int asker, long ask) {
        clients.get(asker).tryUse(ask, now);
        perform(asker, clients.get(asker).release(ask, OBSERVATION, now));
        deliver();
    }

    /** One renewal by each asker. */
    void renew() {
        now += SETTINGS.renewNanos();
        for (int i = 0; i < clients.size(); i++) {
            perform(i, clients.get(i).advance(now));
        }
        deliver();
    }

    CellOwner owner() {
        return owner;
    }

    CellClient client() {
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
        granted.clear();
    }

    void dropOwner() {
        owner = null;
    }

    private void perform(int asker, List<ClientEffect> effects) {
        for (ClientEffect effect : effects) {
            if (effect instanceof ClientEffect.Send send) {
                byte[] body = encode(send.message());
                queue.add(() ->
                        performOwner(owner.onMessage(Integer.toString(asker), (GrantMessage.ToOwner) decode(body), now)));
            } else if (effect instanceof ClientEffect.Granted grant) {
                granted.add(grant.ask());
            }
        }
    }

    private void performOwner(List<OwnerEffect> effects) {
        for (OwnerEffect effect : effects) {
            if (effect instanceof OwnerEffect.Send send) {
                int asker = Integer.parseInt(send.to());
                byte[] body = encode(send.message());
                queue.add(() ->
                        perform(asker, clients.get(asker).onMessage(ownerName, (GrantMessage.ToClient) decode(body), now)));
            }
        }
    }

    private void deliver() {
        while (!queue.isEmpty()) {
            queue.removeFirst().run();
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
