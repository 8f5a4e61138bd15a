package org.dotterelcourse.coordination.ticket;

import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Detects duplicates of a call by customer and idempotency key within one process. Retries at another daemon are not
 * detected; they need a ticket.
 *
 * <p>An entry is kept for its whole lifetime and never evicted, because an evicted entry would let a duplicate run.
 * When the table is full, new calls with a key are rejected without being run.
 */
public final class IdempotencyTable {
    private final int maxEntries;
    private final int maxPerCustomer;
    private final long lifetimeNanos;
    private final Map<Key, Entry> running = new HashMap<>();
    private final Map<Key, Entry> ended = new LinkedHashMap<>();
    private final Map<String, Integer> countByCustomer = new HashMap<>();

    /**
     * Creates an empty table.
     *
     * @param maxEntries maximum number of entries
     * @param maxPerCustomer maximum number of entries per customer
     * @param lifetimeNanos nanoseconds from the end of a call until its entry expires
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

    /** Result of {@link IdempotencyTable#register}. */
    public sealed interface Registration {
        /**
         * The first call with this key. It must be run, and {@link IdempotencyTable#recordOutcome} called when it has
         * ended.
         */
        record First() implements Registration {}

        /** The first call is still running; this one must not run. */
        record Running() implements Registration {}

        /**
         * The first call has ended; this one must not run and gets the same outcome.
         *
         * @param outcome outcome of the first call
         */
        record Ended(TicketOutcome outcome) implements Registration {}

        /** The key was used for a call with another fingerprint; this one must not run. */
        record KeyReused() implements Registration {}

        /** The limit of entries is reached; this call must not run. */
        record Full() implements Registration {}
    }

    /**
     * Registers an arriving call with an idempotency key.
     *
     * @param customer the call's customer
     * @param key idempotency key from the caller
     * @param fingerprint hash of the call, which distinguishes it from a different call with the same key
     * @param nowNanos current monotonic time in nanoseconds
     * @return whether the call must be run
     */
    public Registration register(String customer, String key, long fingerprint, long nowNanos) {
        expire(nowNanos);
        Key tableKey = new Key(customer, key);
        Entry entry = running.getOrDefault(tableKey, ended.get(tableKey));
        if (entry != null && entry.fingerprint != fingerprint) {
            return new Registration.KeyReused();
        }
        if (entry != null) {
            return entry.outcome == null ? new Registration.Running() : new Registration.Ended(entry.outcome);
        }
        if (size() >= maxEntries || countByCustomer.getOrDefault(customer, 0) >= maxPerCustomer) {
            return new Registration.Full();
        }
        running.put(tableKey, new Entry(fingerprint));
        countByCustomer.merge(customer, 1, Integer::sum);
        return new Registration.First();
    }

    /**
     * Records the outcome of the first call with a key.
     *
     * @param customer the call's customer
     * @param key idempotency key from the caller
     * @param outcome outcome of the call
     * @param nowNanos current monotonic time in nanoseconds
     */
    public void recordOutcome(String customer, String key, TicketOutcome outcome, long nowNanos) {
        Key tableKey = new Key(customer, key);
        Entry entry = running.remove(tableKey);
        if (entry != null) {
            entry.outcome = outcome;
            entry.endedNanos = nowNanos;
            ended.put(tableKey, entry);
        }
    }

    /**
     * Number of entries, of running and ended calls.
     *
     * @return the number
     */
    public int size() {
        return running.size() + ended.size();
    }

    /**
     * Removes expired entries. The ended calls are ordered by their end, so the search stops at the first unexpired
     * one.
     */
    private void expire(long nowNanos) {
        Iterator<Map.Entry<Key, Entry>> iterator = ended.entrySet().iterator();
        while (iterator.hasNext()) {
            Map.Entry<Key, Entry> next = iterator.next();
            if (nowNanos - next.getValue().endedNanos < lifetimeNanos) {
                return;
            }
            iterator.remove();
            countByCustomer.computeIfPresent(
                    next.getKey().customer(), (customer, count) -> count == 1 ? null : count - 1);
        }
    }
}
