package org.dotterelcourse.coordination.grant;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.random.RandomGenerator;

/**
 * Owns one cell for one term: holds its one queue, hands out grants with leases, and rebuilds both from the askers when
 * it takes over from another owner.
 *
 * <p>The state is reconstructible: nothing here is kept anywhere else, and a new owner learns the outstanding grants
 * from those who hold them. Until all expected askers have registered, or the settle time is over, asks are held and
 * nothing is granted; otherwise a new owner would count workers as free that still run what its predecessor granted,
 * which shows as workers above their capacity right after a take-over.
 *
 * <p>A state machine for one thread: events go in with their time in nanoseconds of a monotonic clock, effects come out.
 */
public final class CellOwner {
    private static final String SETTLING_FULL = "SETTLING_FULL";
    private static final int SCANS_PER_LEASE = 16;

    private final String cell;
    private final GrantSettings settings;
    private final Arbiter arbiter;
    private final boolean awaitsAll;
    private final Set<String> awaited;
    private final long settleEndsNanos;
    private final OwnerLedger ledger;
    private boolean settled;
    private boolean resigned;
    private String successor = "";
    private int adopted;
    private long nextScanNanos;

    private CellOwner(Builder builder, long nowNanos) {
        cell = builder.cellName;
        settings = builder.grantSettings;
        arbiter = builder.cellArbiter;
        ledger = new OwnerLedger(cell, settings, arbiter, builder.randomGenerator.nextLong());
        awaitsAll = builder.expected == null;
        awaited = awaitsAll ? new HashSet<>() : new HashSet<>(builder.expected);
        settleEndsNanos = nowNanos + settings.settleNanos();
        nextScanNanos = nowNanos;
    }

    /**
     * Starts to build an owner.
     *
     * @param cell the cell's name
     * @param arbiter decides; must be empty
     * @param random draws the term, which must differ from that of every other owner of the cell
     * @return the builder
     */
    public static Builder builder(String cell, Arbiter arbiter, RandomGenerator random) {
        return new Builder(cell, arbiter, random);
    }

    /**
     * A message has arrived.
     *
     * @param from the sender's member name
     * @param message the message
     * @param nowNanos the time
     * @return what to do
     */
    public List<OwnerEffect> onMessage(String from, GrantMessage.ToOwner message, long nowNanos) {
        List<OwnerEffect> effects = new ArrayList<>();
        if (resigned) {
            effects.add(new OwnerEffect.Send(from, notOwner(message, successor)));
            return effects;
        }
        OwnerSession session = ledger.session(from, message.life(), nowNanos, effects);
        if (session == null) {
            return effects;
        }
        session.heard(message.stampNanos(), nowNanos);
        handle(session, message.body(), nowNanos, effects);
        settleIfDue(nowNanos, effects);
        return effects;
    }

    /**
     * Time has passed. To be called every few tens of milliseconds.
     *
     * @param nowNanos the time
     * @return what to do
     */
    public List<OwnerEffect> advance(long nowNanos) {
        List<OwnerEffect> effects = new ArrayList<>();
        if (resigned) {
            return effects;
        }
        if (nextScanNanos - nowNanos <= 0) {
            nextScanNanos = nowNanos + settings.leaseNanos() / SCANS_PER_LEASE;
            ledger.expire(nowNanos, effects);
        }
        settleIfDue(nowNanos, effects);
        if (settled) {
            ledger.carryOut(arbiter.advance(nowNanos), nowNanos, effects);
        }
        return effects;
    }

    /**
     * Carries out decisions that the embedder got from the arbiter by itself, for instance after a worker's report.
     *
     * @param decisions the decisions
     * @param nowNanos the time
     * @return what to do
     */
    public List<OwnerEffect> apply(List<Decision> decisions, long nowNanos) {
        List<OwnerEffect> effects = new ArrayList<>();
        if (!resigned) {
            ledger.carryOut(decisions, nowNanos, effects);
        }
        return effects;
    }

    /**
     * The membership counts an asker as dead, so the settling owner no longer waits for it. Its leases run on: the
     * suspicion may be wrong, and then its requests still run at the workers.
     *
     * @param asker the asker's member name
     * @param nowNanos the time
     * @return what to do
     */
    public List<OwnerEffect> onClientDead(String asker, long nowNanos) {
        List<OwnerEffect> effects = new ArrayList<>();
        awaited.remove(asker);
        if (!resigned) {
            settleIfDue(nowNanos, effects);
        }
        return effects;
    }

    /**
     * Ends the term: another member owns the cell. Grants stay valid and are registered with the successor by those who
     * hold them. Every later message is answered with {@link GrantMessage.NotOwner}.
     *
     * @param newOwner the successor's member name; empty if unknown
     * @param nowNanos the time
     * @return what to do
     */
    public List<OwnerEffect> resign(String newOwner, long nowNanos) {
        List<OwnerEffect> effects = new ArrayList<>();
        successor = newOwner;
        if (!resigned) {
            for (OwnerSession session : ledger.sessions()) {
                ledger.send(session, new GrantMessage.NotOwner(newOwner), nowNanos, effects);
            }
        }
        resigned = true;
        ledger.clear();
        return effects;
    }

    /**
     * Answers a message that reached a member which doesn't own the cell.
     *
     * @param message the message
     * @param owner who owns it, as far as is known; else empty
     * @return the answer
     */
    public static GrantMessage.ToClient notOwner(GrantMessage.ToOwner message, String owner) {
        return new GrantMessage.ToClient(
                message.cell(), message.life(), 0, message.stampNanos(), 0, new GrantMessage.NotOwner(owner));
    }

    /**
     * Whether the owner has begun to grant.
     *
     * @return true if so
     */
    public boolean settled() {
        return settled;
    }

    /**
     * The grants whose leases run.
     *
     * @return how many by worker's name; a worker without any isn't listed
     */
    public Map<String, Integer> leasesByWorker() {
        return ledger.leasesByWorker();
    }

    /**
     * Asks and grants that the owner holds.
     *
     * @return how many
     */
    public int size() {
        return ledger.size();
    }

    private void handle(OwnerSession session, GrantMessage.Request request, long nowNanos, List<OwnerEffect> effects) {
        if (request instanceof GrantMessage.Ask ask) {
            ask(session, ask, nowNanos, effects);
        } else if (request instanceof GrantMessage.Withdraw withdraw) {
            // An asker withdraws only what it was not granted, so even a grant that crosses this was never used.
            OwnerEntry entry = session.entries().get(withdraw.ask());
            if (entry != null) {
                ledger.end(session, entry, nowNanos, effects);
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
        OwnerEntry known = session.entries().get(ask.ask());
        if (known != null) {
            known.renewUntil(nowNanos + settings.leaseNanos());
            repeatAnswer(session, known, nowNanos, effects);
            return;
        }
        if (!settled && ledger.held() >= settings.maxAsks()) {
            // Without a bound, a take-over in the middle of a burst fills the memory before anything is granted.
            ledger.send(
                    session,
                    new GrantMessage.Refused(ask.ask(), SETTLING_FULL, settings.settleNanos()),
                    nowNanos,
                    effects);
            return;
        }
        OwnerEntry entry = new OwnerEntry(
                session.asker(), session.life(), ask.ask(), nowNanos - Math.max(0, ask.ageNanos()), ask.terms());
        ledger.add(session, entry, nowNanos);
        if (settled) {
            ledger.offer(entry, nowNanos, effects);
        }
        if (ledger.holds(entry) && entry.state() != OwnerEntry.State.GRANTED) {
            ledger.send(session, new GrantMessage.Queued(ask.ask()), nowNanos, effects);
        }
    }

    /** The earlier answer may have been lost, so it is given again; an ask is never offered to the arbiter twice. */
    private void repeatAnswer(OwnerSession session, OwnerEntry entry, long nowNanos, List<OwnerEffect> effects) {
        if (entry.state() == OwnerEntry.State.GRANTED) {
            ledger.sendGranted(session, entry, nowNanos, effects);
        } else {
            ledger.send(session, new GrantMessage.Queued(entry.ask()), nowNanos, effects);
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
                entry.renewUntil(nowNanos + settings.leaseNanos());
                decisions.addAll(arbiter.progress(entry.arbiterGrant(), renewed.units(), nowNanos));
            }
        }
        for (Long ask : renew.waiting()) {
            OwnerEntry entry = session.entries().get(ask);
            if (entry == null) {
                unknown.add(ask);
            } else {
                entry.renewUntil(nowNanos + settings.leaseNanos());
                if (entry.state() == OwnerEntry.State.GRANTED) {
                    ledger.sendGranted(session, entry, nowNanos, effects);
                }
            }
        }
        ledger.send(session, new GrantMessage.Renewed(settings.leaseNanos(), unknown), nowNanos, effects);
        ledger.carryOut(decisions, nowNanos, effects);
    }

    private void release(OwnerSession session, GrantMessage.Release release, long nowNanos, List<OwnerEffect> effects) {
        OwnerEntry entry = session.entries().get(release.ask());
        if (entry == null || !release.grant().equals(entry.grant())) {
            return;
        }
        ledger.remove(session, entry);
        ledger.carryOut(arbiter.release(entry.arbiterGrant(), release.observation(), nowNanos), nowNanos, effects);
    }

    private void reregister(
            OwnerSession session, GrantMessage.Reregister message, long nowNanos, List<OwnerEffect> effects) {
        for (GrantMessage.Outstanding grant : message.grants()) {
            adopt(session, grant, nowNanos, effects);
        }
        for (GrantMessage.Ask ask : message.asks()) {
            ask(session, ask, nowNanos, effects);
        }
        ledger.send(session, new GrantMessage.Registered(message.registration(), message.part()), nowNanos, effects);
        if (session.registered(message)) {
            awaited.remove(session.asker());
        }
    }

    private void adopt(OwnerSession session, GrantMessage.Outstanding grant, long nowNanos, List<OwnerEffect> effects) {
        long ask = grant.held().ask();
        OwnerEntry known = session.entries().get(ask);
        if (known != null && grant.held().grant().equals(known.grant())) {
            known.renewUntil(nowNanos + settings.leaseNanos());
            return;
        }
        if (known != null) {
            ledger.end(session, known, nowNanos, effects);
        }
        long arrivalNanos = nowNanos - Math.max(0, grant.ageNanos());
        OwnerEntry entry = new OwnerEntry(session.asker(), session.life(), ask, arrivalNanos, grant.terms());
        long number = arbiter.adopt(entry.arbiterId(), grant.worker(), arrivalNanos, grant.terms(), nowNanos);
        entry.granted(grant.held().grant(), number, grant.worker());
        ledger.add(session, entry, nowNanos);
        adopted++;
    }

    private void settleIfDue(long nowNanos, List<OwnerEffect> effects) {
        boolean incomplete = awaitsAll || !awaited.isEmpty();
        if (settled || incomplete && settleEndsNanos - nowNanos > 0) {
            return;
        }
        settled = true;
        effects.add(new OwnerEffect.Settled(adopted, awaited.size()));
        ledger.offerHeld(nowNanos, effects);
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
         * Sets times and bounds.
         *
         * @param settings the settings
         * @return this
         */
        public Builder settings(GrantSettings settings) {
            grantSettings = settings;
            return this;
        }

        /**
         * Sets the askers that may hold grants of earlier owners: all live members, each of which needs a {@link
         * CellClient} for the cell from its start. Once each has registered, the owner settles without waiting for the
         * rest of the settle time; when they aren't set, it waits for all of it.
         *
         * @param askers their member names
         * @return this
         */
        public Builder expectedClients(Set<String> askers) {
            expected = Set.copyOf(askers);
            return this;
        }

        /**
         * Takes the cell over.
         *
         * @param nowNanos the time
         * @return the owner
         */
        public CellOwner takeOver(long nowNanos) {
            return new CellOwner(this, nowNanos);
        }
    }
}
