package org.dotterelcourse.gateway.slots;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

import org.dotterelcourse.coordination.grant.CellClient;
import org.dotterelcourse.coordination.grant.CellOwner;
import org.dotterelcourse.coordination.grant.ClientEffect;
import org.dotterelcourse.coordination.grant.GrantCheck;
import org.dotterelcourse.coordination.grant.GrantMessage;
import org.dotterelcourse.coordination.grant.GrantSettings;
import org.dotterelcourse.coordination.grant.OwnerEffect;
import org.dotterelcourse.gateway.forward.SlotSource;
import org.dotterelcourse.gateway.workers.SlotGrant;
import org.dotterelcourse.policy.rate.SlotLedger;
import reactor.core.publisher.MonoSink;

/**
 * This process's role for the slots of one brittle worker: it asks for them as a client and, while it owns them, grants them
 * to all processes. While no owner answers, it uses its own part of the slots. Not thread-safe.
 */
final class SlotCell {
    private static final long NANOS_PER_MILLI = 1_000_000L;

    /** Time after which an unanswered message is sent again. */
    private static final long ASK_TIMEOUT_NANOS = 150 * NANOS_PER_MILLI;

    /**
     * Time without an answer after which a process uses its own part of the slots. An owner that has ended is replaced by the
     * membership before; one that is only slow still grants the slots to others.
     */
    private static final long LOCAL_AFTER_NANOS = 2_000 * NANOS_PER_MILLI;

    /** Time after which the slot of a process that is not heard of, or whose release was lost, is free again. */
    private static final long LEASE_NANOS = 2_000 * NANOS_PER_MILLI;

    private static final long RENEW_NANOS = 600 * NANOS_PER_MILLI;

    /** A new owner need not wait for registrations: it sees in the load reports what runs at the worker. */
    private static final GrantSettings SETTINGS = GrantSettings.builder()
            .settle(0)
            .lease(LEASE_NANOS, RENEW_NANOS)
            .timeouts(ASK_TIMEOUT_NANOS, LOCAL_AFTER_NANOS)
            .build();

    private final String worker;
    private final Environment environment;
    private final CellClient client;
    private final Map<Long, MonoSink<SlotSource.Result>> sinks = new HashMap<>();
    private SlotArbiter ownedArbiter;
    private CellOwner owned;
    private String owner = "";

    /** What a cell needs of its process. */
    interface Environment {
        /** Returns the name of this process. */
        String self();

        /** Returns the incarnation with which this process started. */
        long incarnation();

        /** Returns the current monotonic time in nanoseconds. */
        long nowNanos();

        /** Sends a message to a process, which may be this one. */
        void send(String to, GrantMessage message);

        /** Returns what is known of the worker for its owner, with all reported requests. */
        SlotLedger.Bounds bounds(String worker);

        /** Returns the part of the worker's slots that this process may use without an owner. */
        SlotLedger.Bounds ownPart(String worker);

        /** Records whether this process uses its own part of the slots, because no owner answers. */
        void onLocalMode(String worker, boolean isLocal);
    }

    SlotCell(String worker, Environment environment, RandomGenerator random) {
        this.worker = worker;
        this.environment = environment;
        this.client = new CellClient(
                worker,
                environment.incarnation(),
                SETTINGS,
                new SlotArbiter(worker, () -> environment.ownPart(worker)),
                random);
    }

    void updateOwner(String newOwner, RandomGenerator random) {
        if (newOwner.equals(owner)) {
            return;
        }
        owner = newOwner;
        long nowNanos = environment.nowNanos();
        if (owned != null) {
            apply(owned.resign(newOwner, nowNanos));
            owned = null;
            ownedArbiter = null;
        }
        if (newOwner.equals(environment.self())) {
            ownedArbiter = new SlotArbiter(worker, () -> environment.bounds(worker));
            owned = CellOwner.builder(worker, ownedArbiter, random)
                    .settings(SETTINGS)
                    .expectedClients(Set.of())
                    .takeOver(nowNanos);
        }
        applyClient(client.ownerChanged(newOwner.isEmpty() ? Optional.empty() : Optional.of(newOwner), nowNanos));
    }

    void ask(SlotTerms terms, long arrivalNanos, MonoSink<SlotSource.Result> sink) {
        long nowNanos = environment.nowNanos();
        long deadlineNanos = nowNanos + 2 * TimeUnit.MILLISECONDS.toNanos(terms.maxWaitMillis());
        ClientEffect.Asked asked = client.ask(arrivalNanos, deadlineNanos, terms.encode(), nowNanos);
        sinks.put(asked.ask(), sink);
        sink.onCancel(() -> withdraw(asked.ask()));
        applyClient(asked.effects());
    }

    private void withdraw(long ask) {
        if (sinks.remove(ask) != null) {
            long nowNanos = environment.nowNanos();
            applyClient(client.withdraw(ask, nowNanos));
            applyClient(client.release(ask, SlotTerms.encode(SlotLedger.End.GONE), nowNanos));
        }
    }

    void receive(String from, GrantMessage message) {
        long nowNanos = environment.nowNanos();
        if (message instanceof GrantMessage.ToClient toClient) {
            applyClient(client.onMessage(from, toClient, nowNanos));
        } else if (message instanceof GrantMessage.ToOwner toOwner) {
            if (owned == null) {
                environment.send(from, CellOwner.notOwner(toOwner, owner));
            } else {
                apply(owned.onMessage(from, toOwner, nowNanos));
            }
        }
    }

    void advance() {
        long nowNanos = environment.nowNanos();
        applyClient(client.advance(nowNanos));
        if (owned != null) {
            apply(owned.advance(nowNanos));
        }
    }

    /** Returns whether no request of this process, nor of others as far as it is the owner, is waiting or running. */
    boolean isIdle() {
        return client.size() == 0 && (owned == null || owned.size() == 0);
    }

    /** Returns the room of the worker and the number of waiting requests as its owner knows them, for logs. */
    String describe() {
        return owned == null
                ? "owned by " + owner
                : "room " + ownedArbiter.room(environment.nowNanos()) + ", " + ownedArbiter.waiting() + " waiting";
    }

    private void apply(List<OwnerEffect> effects) {
        for (OwnerEffect effect : effects) {
            if (effect instanceof OwnerEffect.Send send) {
                environment.send(send.to(), send.message());
            }
        }
    }

    private void applyClient(List<ClientEffect> effects) {
        for (ClientEffect effect : effects) {
            if (effect instanceof ClientEffect.Send send) {
                environment.send(send.to(), send.message());
            } else if (effect instanceof ClientEffect.Granted granted) {
                complete(granted.ask(), new SlotSource.Result.Granted(new Slot(granted.ask())));
            } else if (effect instanceof ClientEffect.Refused refused) {
                reject(refused.ask(), refused.retryAfterNanos());
            } else if (effect instanceof ClientEffect.DeadlinePassed passed) {
                reject(passed.ask(), 0);
            } else if (effect instanceof ClientEffect.LocalMode mode) {
                environment.onLocalMode(worker, mode.local());
            }
        }
    }

    private void reject(long ask, long retryAfterNanos) {
        complete(ask, new SlotSource.Result.Rejected(TimeUnit.NANOSECONDS.toMillis(retryAfterNanos)));
    }

    private void complete(long ask, SlotSource.Result result) {
        MonoSink<SlotSource.Result> sink = sinks.remove(ask);
        if (sink != null) {
            sink.success(result);
        }
    }

    /** A granted slot of this cell. */
    private final class Slot implements SlotGrant {
        private final long ask;
        private boolean released;

        private Slot(long ask) {
            this.ask = ask;
        }

        @Override
        public boolean tryUse() {
            GrantCheck check = client.tryUse(ask, environment.nowNanos());
            if (check instanceof GrantCheck.LeaseExpired expired) {
                applyClient(expired.effects());
            } else if (check instanceof GrantCheck.DeadlinePassed passed) {
                applyClient(passed.effects());
            }
            released = !(check instanceof GrantCheck.Usable);
            return !released;
        }

        @Override
        public void release(SlotLedger.End end) {
            if (!released) {
                released = true;
                applyClient(client.release(ask, SlotTerms.encode(end), environment.nowNanos()));
            }
        }
    }
}
