package org.dotterelcourse.coordination.ticket;

import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Recognises duplicates of a call by its customer and idempotency key, within one process. A caller that retries at
 * another daemon isn't recognised; that takes a ticket.
 *
 * <p>An entry is kept for its whole lifetime and never dropped to make room: a dropped entry would let a duplicate run.
 * When there is no room a new keyed call is refused instead, and has not run.
 */
public final class IdempotencyTable {
    private final int maxEntries;
    private final int maxPerCustomer;
    private final long lifetimeNanos;
    private final Map<Key, Entry> running = new HashMap<>();
    private final Map<Key, Entry> ended = new LinkedHashMap<>();
    private final Map<String, Integer> countByCustomer = new HashMap<>();

    /**
     * Makes an empty table.
     *
     * @param maxEntries how many calls are remembered
     * @param maxPerCustomer how many of one customer
     * @param lifetimeNanos how long a call is remembered after it ended
     */
    public IdempotencyTable(int maxEntries, int maxPerCustomer, long lifetimeNanos) {
        this.maxEntries = maxEntries;
        this.maxPerCustomer = maxPerCustomer;
        this.lifetimeNanos = lifetimeNanos;
    }

    private record Key(String customer, String key) {}

    private static final class Entry {
        private final long fingerprint;
        private TicketOutcome outcome;
        private long endedNanos;

        Entry(long fingerprint) {
            this.fingerprint = fingerprint;
        }
    }

    /** What a keyed call may do. */
    public sealed interface Registration {
        /** The first call with this key: run it, and call {@link IdempotencyTable#recordOutcome}. */
        record First() implements Registration {}

        /** The first call still runs. */
        record Running() implements Registration {}

        /**
         * The first call has ended; its outcome holds for this one as well.
         *
         * @param outcome the outcome
         */
        record Ended(TicketOutcome outcome) implements Registration {}

        /** The key was used for another call. */
        record KeyReused() implements Registration {}

        /** Too many calls are remembered; this one has not run. */
        record Full() implements Registration {}
    }

    /**
     * A keyed call has arrived.
     *
     * @param customer its customer
     * @param key the caller's key
     * @param fingerprint a hash of the call, to tell it from another one with the same key
     * @param nowNanos the time
     * @return what it may do
     */
    public Registration register(String customer, String key, long fingerprint, long nowNanos) {
        expire(nowNanos);
        Key named = new Key(customer, key);
        Entry known = running.getOrDefault(named, ended.get(named));
        if (known != null && known.fingerprint != fingerprint) {
            return new Registration.KeyReused();
        }
        if (known != null) {
            return known.outcome == null ? new Registration.Running() : new Registration.Ended(known.outcome);
        }
        if (size() >= maxEntries || countByCustomer.getOrDefault(customer, 0) >= maxPerCustomer) {
            return new Registration.Full();
        }
        running.put(named, new Entry(fingerprint));
        countByCustomer.merge(customer, 1, Integer::sum);
        return new Registration.First();
    }

    /**
     * The first call has ended.
     *
     * @param customer its customer
     * @param key the caller's key
     * @param outcome what became of it
     * @param nowNanos the time
     */
    public void recordOutcome(String customer, String key, TicketOutcome outcome, long nowNanos) {
        Key named = new Key(customer, key);
        Entry entry = running.remove(named);
        if (entry != null) {
            entry.outcome = outcome;
            entry.endedNanos = nowNanos;
            ended.put(named, entry);
        }
    }

    /**
     * Calls that are remembered.
     *
     * @return how many
     */
    public int size() {
        return running.size() + ended.size();
    }

    /** Forgets ended calls, which stand in the order in which they ended. */
    private void expire(long nowNanos) {
        Iterator<Map.Entry<Key, Entry>> each = ended.entrySet().iterator();
        while (each.hasNext()) {
            Map.Entry<Key, Entry> next = each.next();
            if (nowNanos - next.getValue().endedNanos < lifetimeNanos) {
                return;
            }
            each.remove();
            countByCustomer.computeIfPresent(
                    next.getKey().customer(), (customer, count) -> count == 1 ? null : count - 1);
        }
    }
}
