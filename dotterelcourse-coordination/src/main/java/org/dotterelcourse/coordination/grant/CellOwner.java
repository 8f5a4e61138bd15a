package org.dotterelcourse.coordination.grant;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.random.RandomGenerator;

/**
 * Owner of one cell for one term: holds the cell's queue and issues grants with leases.
 *
 * <p>The state is not replicated. After a take-over, the new owner rebuilds it from the registrations of the clients,
 * which report their grants and waiting asks. It settles first: asks are buffered and nothing is granted until all
 * expected clients have registered or the settle time is over. Without this, a new owner would treat workers as free
 * that still run requests granted by its predecessor, and workers would exceed their capacity right after a take-over.
 *
 * <p>A single-threaded state machine: each method takes an event with its time in nanoseconds of a monotonic clock and
 * returns the effects.
 */
public final class CellOwner {
    private static final String SETTLING_FULL = "SETTLING_FULL";
    private static final int EXPIRY_SCANS_PER_LEASE = 16;

    private final String cell;
    private final GrantSettings settings;
    private final Arbiter arbiter;
    private final boolean waitsFullSettleTime;
    private final Set<String> unregisteredClients;
    private final long settleDeadlineNanos;
    private final GrantTable table;
    private boolean settled;
    private boolean resigned;
    private String successor = "";
    private int adoptedGrants;
    private long nextExpiryScanNanos;

    private CellOwner(Builder builder, long nowNanos) {
        cell = builder.cellName;
        settings = builder.grantSettings;
        arbiter = builder.cellArbiter;
        table = new GrantTable(cell, settings, arbiter, builder.randomGenerator.nextLong());
        waitsFullSettleTime = builder.expected == null;
        unregisteredClients = waitsFullSettleTime ? new HashSet<>() : new HashSet<>(builder.expected);
        settleDeadlineNanos = nowNanos + settings.settleNanos();
        nextExpiryScanNanos = nowNanos;
    }

    /**
     * Creates a builder of an owner.
     *
     * @param cell name of the cell
     * @param arbiter scheduling policy; must have no requests or grants yet
     * @param random source of the random term, which must differ from that of every other owner of the cell
     * @return a new builder
     */
    public static Builder builder(String cell, Arbiter arbiter, RandomGenerator random) {
        return new Builder(cell, arbiter, random);
    }

    /**
     * Handles a message of a client.
     *
     * @param from member name of the client
     * @param message the message
     * @param nowNanos current monotonic time in nanoseconds
     * @return actions that the embedder must carry out, in order
     */
    public List<OwnerEffect> onMessage(String from, GrantMessage.ToOwner message, long nowNanos) {
        List<OwnerEffect> effects = new ArrayList<>();
        if (resigned) {
            effects.add(new OwnerEffect.Send(from, notOwner(message, successor)));
            return effects;
        }
        OwnerSession session = table.sessionFor(from, message.life(), nowNanos, effects);
        if (session == null) {
            return effects;
        }
        session.recordStamp(message.stampNanos(), nowNanos);
        handle(session, message.body(), nowNanos, effects);
        settleIfDue(nowNanos, effects);
        return effects;
    }

    /**
     * Expires leases, ends the settle time and lets the arbiter decide. Must be called every few tens of milliseconds.
     *
     * @param nowNanos current monotonic time in nanoseconds
     * @return actions that the embedder must carry out, in order
     */
    public List<OwnerEffect> advance(long nowNanos) {
        List<OwnerEffect> effects = new ArrayList<>();
        if (resigned) {
            return effects;
        }
        if (nextExpiryScanNanos - nowNanos <= 0) {
            nextExpiryScanNanos = nowNanos + settings.leaseNanos() / EXPIRY_SCANS_PER_LEASE;
            table.expire(nowNanos, effects);
        }
        settleIfDue(nowNanos, effects);
        if (settled) {
            table.apply(arbiter.advance(nowNanos), nowNanos, effects);
        }
        return effects;
    }

    /**
     * Applies decisions that the embedder obtained directly from the arbiter, for instance after a worker's report.
     *
     * @param decisions the decisions in order
     * @param nowNanos current monotonic time in nanoseconds
     * @return actions that the embedder must carry out, in order
     */
    public List<OwnerEffect> apply(List<Decision> decisions, long nowNanos) {
        List<OwnerEffect> effects = new ArrayList<>();
        if (!resigned) {
            table.apply(decisions, nowNanos, effects);
        }
        return effects;
    }

    /**
     * Handles a client that the membership protocol declared dead: the settling owner no longer waits for it. Its
     * leases are kept until they expire, because it may be alive and its requests may still run at the workers.
     *
     * @param client member name of the client
     * @param nowNanos current monotonic time in nanoseconds
     * @return actions that the embedder must carry out, in order
     */
    public List<OwnerEffect> onClientDead(String client, long nowNanos) {
        List<OwnerEffect> effects = new ArrayList<>();
        unregisteredClients.remove(client);
        if (!resigned) {
            settleIfDue(nowNanos, effects);
        }
        return effects;
    }

    /**
     * Ends the term because another member owns the cell. Grants stay valid; the clients that hold them register them
     * with the successor. Every later message is answered with {@link GrantMessage.NotOwner}.
     *
     * @param newOwner member name of the successor; empty if unknown
     * @param nowNanos current monotonic time in nanoseconds
     * @return actions that the embedder must carry out, in order
     */
    public List<OwnerEffect> resign(String newOwner, long nowNanos) {
        List<OwnerEffect> effects = new ArrayList<>();
        successor = newOwner;
        if (!resigned) {
            for (OwnerSession session : table.sessions()) {
                table.send(session, new GrantMessage.NotOwner(newOwner), nowNanos, effects);
            }
        }
        resigned = true;
        table.clear();
        return effects;
    }

    /**
     * Creates the answer to a message that reached a member that does not own the cell.
     *
     * @param message the message
     * @param owner member name of the owner; empty if unknown
     * @return the answer to the sender
     */
    public static GrantMessage.ToClient notOwner(GrantMessage.ToOwner message, String owner) {
        return new GrantMessage.ToClient(
                message.cell(), message.life(), 0, message.stampNanos(), 0, new GrantMessage.NotOwner(owner));
    }

    /**
     * Whether the settle phase is over.
     *
     * @return true if the owner issues grants
     */
    public boolean isSettled() {
        return settled;
    }

    /**
     * Number of grants per worker that were issued or adopted and have not ended.
     *
     * @return number of grants by worker name, without workers that have none
     */
    public Map<String, Integer> leasesByWorker() {
        return table.leasesByWorker();
    }

    /**
     * Number of asks and grants in the owner's table.
     *
     * @return the number
     */
    public int size() {
        return table.size();
    }

    private void handle(OwnerSession session, GrantMessage.Request request, long nowNanos, List<OwnerEffect> effects) {
        if (request instanceof GrantMessage.Ask ask) {
            ask(session, ask, nowNanos, effects);
        } else if (request instanceof GrantMessage.Withdraw withdraw) {
            // A client withdraws only asks that it has no grant for, so a grant that is still in flight is never used.
            OwnerEntry entry = session.entries().get(withdraw.ask());
            if (entry != null) {
                table.end(session, entry, nowNanos, effects);
            }
        } else if (request instanceof GrantMessage.Renew renew) {
            renew(session, renew, nowNanos, effects);
        } else if (request instanceof GrantMessage.Release release) {
            release(session, release, nowNanos, effects);
        } else if (request instanceof GrantMessage.Reregister reregister) {
            reregister(session, reregister, nowNanos, effects);
        }
    }

    private void ask(OwnerSession session, GrantMessage.Ask ask, long nowNanos, List<OwnerEffect> effects) {
        OwnerEntry existing = session.entries().get(ask.ask());
        if (existing != null) {
            existing.extendLease(nowNanos + settings.leaseNanos());
            resendAnswer(session, existing, nowNanos, effects);
            return;
        }
        if (!settled && table.buffered() >= settings.maxAsks()) {
            // Without a limit, a take-over during a burst of requests exhausts the memory before anything is granted.
            table.send(
                    session,
                    new GrantMessage.Refused(ask.ask(), SETTLING_FULL, settings.settleNanos()),
                    nowNanos,
                    effects);
            return;
        }
        OwnerEntry entry = new OwnerEntry(
                session.client(), session.life(), ask.ask(), nowNanos - Math.max(0, ask.ageNanos()), ask.terms());
        table.add(session, entry, nowNanos);
        if (settled) {
            table.offer(entry, nowNanos, effects);
        }
        if (table.contains(entry) && entry.state() != OwnerEntry.State.GRANTED) {
            table.send(session, new GrantMessage.Queued(ask.ask()), nowNanos, effects);
        }
    }

    /** Resends the answer, which may have been lost; an ask is never offered to the arbiter twice. */
    private void resendAnswer(OwnerSession session, OwnerEntry entry, long nowNanos, List<OwnerEffect> effects) {
        if (entry.state() == OwnerEntry.State.GRANTED) {
            table.sendGranted(session, entry, nowNanos, effects);
        } else {
            table.send(session, new GrantMessage.Queued(entry.ask()), nowNanos, effects);
        }
    }

    private void renew(OwnerSession session, GrantMessage.Renew renew, long nowNanos, List<OwnerEffect> effects) {
        List<Long> unknown = new ArrayList<>();
        List<Decision> decisions = new ArrayList<>();
        for (GrantMessage.Held renewed : renew.held()) {
            OwnerEntry entry = session.entries().get(renewed.ask());
            if (entry == null || !renewed.grant().equals(entry.grant())) {
                unknown.add(renewed.ask());
            } else {
                entry.extendLease(nowNanos + settings.leaseNanos());
                decisions.addAll(arbiter.progress(entry.arbiterGrant(), renewed.units(), nowNanos));
            }
        }
        for (Long ask : renew.waiting()) {
            OwnerEntry entry = session.entries().get(ask);
            if (entry == null) {
                unknown.add(ask);
            } else {
                entry.extendLease(nowNanos + settings.leaseNanos());
                if (entry.state() == OwnerEntry.State.GRANTED) {
                    table.sendGranted(session, entry, nowNanos, effects);
                }
            }
        }
        table.send(session, new GrantMessage.Renewed(settings.leaseNanos(), unknown), nowNanos, effects);
        table.apply(decisions, nowNanos, effects);
    }

    private void release(OwnerSession session, GrantMessage.Release release, long nowNanos, List<OwnerEffect> effects) {
        OwnerEntry entry = session.entries().get(release.ask());
        if (entry == null || !release.grant().equals(entry.grant())) {
            return;
        }
        table.remove(session, entry);
        table.apply(arbiter.release(entry.arbiterGrant(), release.observation(), nowNanos), nowNanos, effects);
    }

    private void reregister(
            OwnerSession session, GrantMessage.Reregister message, long nowNanos, List<OwnerEffect> effects) {
        for (GrantMessage.Outstanding grant : message.grants()) {
            adopt(session, grant, nowNanos, effects);
        }
        for (GrantMessage.Ask ask : message.asks()) {
            ask(session, ask, nowNanos, effects);
        }
        table.send(session, new GrantMessage.Registered(message.registration(), message.part()), nowNanos, effects);
        if (session.recordPart(message)) {
            unregisteredClients.remove(session.client());
        }
    }

    private void adopt(OwnerSession session, GrantMessage.Outstanding grant, long nowNanos, List<OwnerEffect> effects) {
        long ask = grant.held().ask();
        OwnerEntry existing = session.entries().get(ask);
        if (existing != null && grant.held().grant().equals(existing.grant())) {
            existing.extendLease(nowNanos + settings.leaseNanos());
            return;
        }
        if (existing != null) {
            table.end(session, existing, nowNanos, effects);
        }
        long arrivalNanos = nowNanos - Math.max(0, grant.ageNanos());
        OwnerEntry entry = new OwnerEntry(session.client(), session.life(), ask, arrivalNanos, grant.terms());
        long arbiterGrant = arbiter.adopt(entry.askId(), grant.worker(), arrivalNanos, grant.terms(), nowNanos);
        entry.markGranted(grant.held().grant(), arbiterGrant, grant.worker());
        table.add(session, entry, nowNanos);
        adoptedGrants++;
    }

    private void settleIfDue(long nowNanos, List<OwnerEffect> effects) {
        boolean incomplete = waitsFullSettleTime || !unregisteredClients.isEmpty();
        if (settled || incomplete && settleDeadlineNanos - nowNanos > 0) {
            return;
        }
        settled = true;
        effects.add(new OwnerEffect.Settled(adoptedGrants, unregisteredClients.size()));
        table.offerBuffered(nowNanos, effects);
    }

    /** Builds a {@link CellOwner}. */
    public static final class Builder {
        private final String cellName;
        private final Arbiter cellArbiter;
        private final RandomGenerator randomGenerator;
        private GrantSettings grantSettings = GrantSettings.builder().build();
        private Set<String> expected;

        private Builder(String cell, Arbiter arbiter, RandomGenerator random) {
            cellName = cell;
            cellArbiter = arbiter;
            randomGenerator = random;
        }

        /**
         * Sets the timeouts and limits. The default is that of {@link GrantSettings#builder}.
         *
         * @param settings the settings, the same as those of the clients
         * @return this builder
         */
        public Builder settings(GrantSettings settings) {
            grantSettings = settings;
            return this;
        }

        /**
         * Sets the clients that may hold grants of earlier owners: all live members. Each of them must have a {@link
         * CellClient} for the cell from its start. The owner begins to grant as soon as all of them have registered;
         * without this setting, it always waits for the whole settle time.
         *
         * @param clients member names of the clients
         * @return this builder
         */
        public Builder expectedClients(Set<String> clients) {
            expected = Set.copyOf(clients);
            return this;
        }

        /**
         * Creates the owner, which begins to settle.
         *
         * @param nowNanos current monotonic time in nanoseconds
         * @return the owner
         */
        public CellOwner takeOver(long nowNanos) {
            return new CellOwner(this, nowNanos);
        }
    }
}
