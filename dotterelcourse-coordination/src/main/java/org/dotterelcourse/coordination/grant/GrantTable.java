package org.dotterelcourse.coordination.grant;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Owner's table of asks and grants. Passes their changes to the arbiter and applies its decisions. */
final class GrantTable {
    private static final int SESSION_RETENTION_LEASES = 20;

    private final String cell;
    private final GrantSettings settings;
    private final Arbiter arbiter;
    private final long term;
    private final Map<String, OwnerSession> sessions = new HashMap<>();
    private final Map<String, OwnerEntry> entries = new HashMap<>();
    private int buffered;

    GrantTable(String cell, GrantSettings settings, Arbiter arbiter, long term) {
        this.cell = cell;
        this.settings = settings;
        this.arbiter = arbiter;
        this.term = term;
    }

    int size() {
        return entries.size();
    }

    /** Number of asks that arrived while the owner settles and were not offered to the arbiter yet. */
    int buffered() {
        return buffered;
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

    boolean contains(OwnerEntry entry) {
        return entries.get(entry.askId()) == entry;
    }

    void clear() {
        sessions.clear();
        entries.clear();
        buffered = 0;
    }

    /** Session of this incarnation of the client; null if the message is from an earlier incarnation. */
    OwnerSession sessionFor(String from, long life, long nowNanos, List<OwnerEffect> effects) {
        OwnerSession session = sessions.get(from);
        if (session != null && life < session.life()) {
            return null;
        }
        if (session != null && life > session.life()) {
            // The requests of a restarted process no longer run, and their callers are disconnected.
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
        byte[] terms = entry.takeTerms();
        apply(arbiter.offer(entry.askId(), entry.arrivalNanos(), terms, nowNanos), nowNanos, effects);
    }

    /** Ends entries that were not renewed in time, and removes empty sessions of clients that were inactive for long. */
    void expire(long nowNanos, List<OwnerEffect> effects) {
        for (OwnerEntry entry : List.copyOf(entries.values())) {
            if (entry.isExpired(nowNanos) && entries.get(entry.askId()) == entry) {
                if (entry.state() == OwnerEntry.State.GRANTED) {
                    effects.add(new OwnerEffect.LeaseExpired(entry.client(), entry.grant(), entry.worker()));
                }
                end(sessions.get(entry.client()), entry, nowNanos, effects);
            }
        }
        long retentionNanos = SESSION_RETENTION_LEASES * settings.leaseNanos();
        sessions.values()
                .removeIf(session -> session.entries().isEmpty() && session.sinceStampNanos(nowNanos) > retentionNanos);
    }

    /** Offers the buffered asks to the arbiter, oldest first. */
    void offerBuffered(long nowNanos, List<OwnerEffect> effects) {
        List<OwnerEntry> waiting = new ArrayList<>();
        for (OwnerEntry entry : entries.values()) {
            if (entry.state() == OwnerEntry.State.BUFFERED) {
                waiting.add(entry);
            }
        }
        waiting.sort(Comparator.comparingLong(OwnerEntry::arrivalNanos).thenComparing(OwnerEntry::askId));
        buffered = 0;
        for (OwnerEntry entry : waiting) {
            offer(entry, nowNanos, effects);
        }
    }

    void end(OwnerSession session, OwnerEntry entry, long nowNanos, List<OwnerEffect> effects) {
        OwnerEntry.State state = entry.state();
        remove(session, entry);
        if (state == OwnerEntry.State.GRANTED) {
            apply(arbiter.expire(entry.arbiterGrant(), nowNanos), nowNanos, effects);
        } else if (state == OwnerEntry.State.WAITING) {
            apply(arbiter.withdraw(entry.askId(), nowNanos), nowNanos, effects);
        }
    }

    void add(OwnerSession session, OwnerEntry entry, long nowNanos) {
        entry.extendLease(nowNanos + settings.leaseNanos());
        session.entries().put(entry.ask(), entry);
        entries.put(entry.askId(), entry);
        if (entry.state() == OwnerEntry.State.BUFFERED) {
            buffered++;
        }
    }

    void remove(OwnerSession session, OwnerEntry entry) {
        if (entry.state() == OwnerEntry.State.BUFFERED) {
            buffered--;
        }
        session.entries().remove(entry.ask());
        entries.remove(entry.askId());
    }

    void apply(List<Decision> decisions, long nowNanos, List<OwnerEffect> effects) {
        for (Decision decision : decisions) {
            if (decision instanceof Decision.Granted granted) {
                grant(granted, nowNanos, effects);
            } else if (decision instanceof Decision.Refused refused) {
                OwnerEntry entry = entries.get(refused.askId());
                if (entry != null) {
                    OwnerSession session = sessions.get(entry.client());
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
                    OwnerSession session = sessions.get(entry.client());
                    remove(session, entry);
                    send(session, new GrantMessage.Preempted(entry.ask(), entry.grant()), nowNanos, effects);
                }
            }
        }
    }

    private void grant(Decision.Granted granted, long nowNanos, List<OwnerEffect> effects) {
        OwnerEntry entry = entries.get(granted.askId());
        if (entry == null) {
            apply(arbiter.expire(granted.grant(), nowNanos), nowNanos, effects);
            return;
        }
        entry.markGranted(new GrantId(term, granted.grant()), granted.grant(), granted.worker());
        entry.extendLease(nowNanos + settings.leaseNanos());
        sendGranted(sessions.get(entry.client()), entry, nowNanos, effects);
    }

    void sendGranted(OwnerSession session, OwnerEntry entry, long nowNanos, List<OwnerEffect> effects) {
        entry.extendLease(nowNanos + settings.leaseNanos());
        GrantMessage.Granted message =
                new GrantMessage.Granted(entry.ask(), entry.grant(), entry.worker(), settings.leaseNanos());
        send(session, message, nowNanos, effects);
    }

    void send(OwnerSession session, GrantMessage.Reply reply, long nowNanos, List<OwnerEffect> effects) {
        GrantMessage.ToClient message = new GrantMessage.ToClient(
                cell, session.life(), term, session.stampNanos(), session.sinceStampNanos(nowNanos), reply);
        effects.add(new OwnerEffect.Send(session.client(), message));
    }
}
