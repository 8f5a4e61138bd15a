package org.dotterelcourse.coordination.grant;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** The owner's table of asks and grants, kept in step with its arbiter. */
final class OwnerLedger {
    private static final int LEASES_BEFORE_A_SESSION_IS_FORGOTTEN = 20;

    private final String cell;
    private final GrantSettings settings;
    private final Arbiter arbiter;
    private final long term;
    private final Map<String, OwnerSession> sessions = new HashMap<>();
    private final Map<String, OwnerEntry> entries = new HashMap<>();
    private int held;

    OwnerLedger(String cell, GrantSettings settings, Arbiter arbiter, long term) {
        this.cell = cell;
        this.settings = settings;
        this.arbiter = arbiter;
        this.term = term;
    }

    int size() {
        return entries.size();
    }

    /** How many asks are held back from the arbiter. */
    int held() {
        return held;
    }

    List<OwnerSession> sessions() {
        return List.copyOf(sessions.values());
    }

    Map<String, Integer> leasesByWorker() {
        Map<String, Integer> leases = new HashMap<>();
        for (OwnerEntry entry : entries.values()) {
            if (entry.state() == OwnerEntry.State.GRANTED) {
                leases.merge(entry.worker(), 1, Integer::sum);
            }
        }
        return leases;
    }

    boolean holds(OwnerEntry entry) {
        return entries.get(entry.arbiterId()) == entry;
    }

    void clear() {
        sessions.clear();
        entries.clear();
        held = 0;
    }

    /** The session of this life of the asker; null if the message is from an earlier life. */
    OwnerSession session(String from, long life, long nowNanos, List<OwnerEffect> effects) {
        OwnerSession session = sessions.get(from);
        if (session != null && life < session.life()) {
            return null;
        }
        if (session != null && life > session.life()) {
            // A restarted process runs nothing of what its earlier life was granted, and has lost the callers.
            for (OwnerEntry entry : List.copyOf(session.entries().values())) {
                end(session, entry, nowNanos, effects);
            }
            session = null;
        }
        if (session == null) {
            session = new OwnerSession(from, life);
            sessions.put(from, session);
        }
        return session;
    }

    void offer(OwnerEntry entry, long nowNanos, List<OwnerEffect> effects) {
        byte[] terms = entry.handOver();
        carryOut(arbiter.offer(entry.arbiterId(), entry.arrivalNanos(), terms, nowNanos), nowNanos, effects);
    }

    /** Ends what its asker has not renewed in time, and forgets askers that have been silent for long. */
    void expire(long nowNanos, List<OwnerEffect> effects) {
        for (OwnerEntry entry : List.copyOf(entries.values())) {
            if (entry.expiredAt(nowNanos) && entries.get(entry.arbiterId()) == entry) {
                if (entry.state() == OwnerEntry.State.GRANTED) {
                    effects.add(new OwnerEffect.LeaseExpired(entry.asker(), entry.grant(), entry.worker()));
                }
                end(sessions.get(entry.asker()), entry, nowNanos, effects);
            }
        }
        long forgetNanos = LEASES_BEFORE_A_SESSION_IS_FORGOTTEN * settings.leaseNanos();
        sessions.values()
                .removeIf(session -> session.entries().isEmpty() && session.sinceStampNanos(nowNanos) > forgetNanos);
    }

    /** Offers the asks that were held back, oldest first. */
    void offerHeld(long nowNanos, List<OwnerEffect> effects) {
        List<OwnerEntry> waiting = new ArrayList<>();
        for (OwnerEntry entry : entries.values()) {
            if (entry.state() == OwnerEntry.State.HELD) {
                waiting.add(entry);
            }
        }
        waiting.sort(Comparator.comparingLong(OwnerEntry::arrivalNanos).thenComparing(OwnerEntry::arbiterId));
        held = 0;
        for (OwnerEntry entry : waiting) {
            offer(entry, nowNanos, effects);
        }
    }

    void end(OwnerSession session, OwnerEntry entry, long nowNanos, List<OwnerEffect> effects) {
        OwnerEntry.State state = entry.state();
        remove(session, entry);
        if (state == OwnerEntry.State.GRANTED) {
            carryOut(arbiter.expire(entry.arbiterGrant(), nowNanos), nowNanos, effects);
        } else if (state == OwnerEntry.State.WAITING) {
            carryOut(arbiter.withdraw(entry.arbiterId(), nowNanos), nowNanos, effects);
        }
    }

    void add(OwnerSession session, OwnerEntry entry, long nowNanos) {
        entry.renewUntil(nowNanos + settings.leaseNanos());
        session.entries().put(entry.ask(), entry);
        entries.put(entry.arbiterId(), entry);
        if (entry.state() == OwnerEntry.State.HELD) {
            held++;
        }
    }

    void remove(OwnerSession session, OwnerEntry entry) {
        if (entry.state() == OwnerEntry.State.HELD) {
            held--;
        }
        session.entries().remove(entry.ask());
        entries.remove(entry.arbiterId());
    }

    void carryOut(List<Decision> decisions, long nowNanos, List<OwnerEffect> effects) {
        for (Decision decision : decisions) {
            if (decision instanceof Decision.Granted granted) {
                grant(granted, nowNanos, effects);
            } else if (decision instanceof Decision.Refused refused) {
                OwnerEntry entry = entries.get(refused.askId());
                if (entry != null) {
                    OwnerSession session = sessions.get(entry.asker());
                    remove(session, entry);
                    send(
                            session,
                            new GrantMessage.Refused(entry.ask(), refused.reason(), refused.retryAfterNanos()),
                            nowNanos,
                            effects);
                }
            } else if (decision instanceof Decision.Preempted preempted) {
                OwnerEntry entry = entries.get(preempted.askId());
                if (entry != null) {
                    OwnerSession session = sessions.get(entry.asker());
                    remove(session, entry);
                    send(session, new GrantMessage.Preempted(entry.ask(), entry.grant()), nowNanos, effects);
                }
            }
        }
    }

    private void grant(Decision.Granted granted, long nowNanos, List<OwnerEffect> effects) {
        OwnerEntry entry = entries.get(granted.askId());
        if (entry == null) {
            carryOut(arbiter.expire(granted.grant(), nowNanos), nowNanos, effects);
            return;
        }
        entry.granted(new GrantId(term, granted.grant()), granted.grant(), granted.worker());
        entry.renewUntil(nowNanos + settings.leaseNanos());
        sendGranted(sessions.get(entry.asker()), entry, nowNanos, effects);
    }

    void sendGranted(OwnerSession session, OwnerEntry entry, long nowNanos, List<OwnerEffect> effects) {
        entry.renewUntil(nowNanos + settings.leaseNanos());
        GrantMessage.Granted message =
                new GrantMessage.Granted(entry.ask(), entry.grant(), entry.worker(), settings.leaseNanos());
        send(session, message, nowNanos, effects);
    }

    void send(OwnerSession session, GrantMessage.Reply reply, long nowNanos, List<OwnerEffect> effects) {
        GrantMessage.ToClient message = new GrantMessage.ToClient(
                cell, session.life(), term, session.stampNanos(), session.sinceStampNanos(nowNanos), reply);
        effects.add(new OwnerEffect.Send(session.asker(), message));
    }
}
