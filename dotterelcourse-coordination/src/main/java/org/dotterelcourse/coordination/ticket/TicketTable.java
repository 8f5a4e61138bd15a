package org.dotterelcourse.coordination.ticket;

import java.util.HashMap;
import java.util.Map;

/**
 * The states of all tickets that have not expired, in a ring: numbers rise and every ticket lives equally long, so the
 * oldest is always the next to expire.
 */
final class TicketTable {
    /** What is known of a ticket. */
    enum State {
        /** Not spent yet. */
        UNSPENT,
        /** Spent; its call may have run. */
        SPENT,
        /** Its call did not run and never will. */
        BURNED
    }

    /** What is kept of a spent ticket; the outcome is null until it is reported. */
    record Spent(TicketHolder holder, TicketOutcome outcome) {}

    private static final int FIRST_SIZE = 16;
    private static final State[] STATES = State.values();

    private final int maxTickets;
    private final Map<String, Integer> countByCustomer = new HashMap<>();
    private byte[] states = new byte[FIRST_SIZE];
    private long[] expiry = new long[FIRST_SIZE];
    private String[] customers = new String[FIRST_SIZE];
    private Spent[] spent = new Spent[FIRST_SIZE];
    private long first = 1;
    private int count;

    TicketTable(int maxTickets) {
        this.maxTickets = maxTickets;
    }

    boolean full() {
        return count >= maxTickets;
    }

    int count() {
        return count;
    }

    int count(String customer) {
        return countByCustomer.getOrDefault(customer, 0);
    }

    /** When the oldest ticket expires; only while there is one. */
    long nextExpiryNanos() {
        return expiry[slot(first)];
    }

    long add(String customer, long expiresNanos) {
        if (count == states.length) {
            grow();
        }
        long number = first + count;
        count++;
        int slot = slot(number);
        states[slot] = (byte) State.UNSPENT.ordinal();
        expiry[slot] = expiresNanos;
        customers[slot] = customer;
        countByCustomer.merge(customer, 1, Integer::sum);
        return number;
    }

    boolean knows(long number) {
        return number >= first && number < first + count;
    }

    /** Whether a ticket with this number was ever made. */
    boolean made(long number) {
        return number >= 1 && number < first + count;
    }

    State state(long number) {
        return STATES[states[slot(number)]];
    }

    Spent spent(long number) {
        return spent[slot(number)];
    }

    void spend(long number, TicketHolder holder) {
        states[slot(number)] = (byte) State.SPENT.ordinal();
        spent[slot(number)] = new Spent(holder, null);
    }

    void outcome(long number, TicketOutcome outcome) {
        spent[slot(number)] = new Spent(spent(number).holder(), outcome);
    }

    void burn(long number) {
        states[slot(number)] = (byte) State.BURNED.ordinal();
        spent[slot(number)] = null;
    }

    void expire(long nowNanos) {
        while (count > 0 && nextExpiryNanos() - nowNanos <= 0) {
            int slot = slot(first);
            countByCustomer.computeIfPresent(customers[slot], (customer, left) -> left == 1 ? null : left - 1);
            customers[slot] = null;
            spent[slot] = null;
            first++;
            count--;
        }
    }

    private int slot(long number) {
        return (int) (number & (states.length - 1));
    }

    /** Doubles the ring. The numbers' places change with its size, so each ticket is put where it belongs now. */
    private void grow() {
        byte[] oldStates = states;
        long[] oldExpiry = expiry;
        String[] oldCustomers = customers;
        Spent[] oldSpent = spent;
        int size = oldStates.length * 2;
        states = new byte[size];
        expiry = new long[size];
        customers = new String[size];
        spent = new Spent[size];
        for (long number = first; number < first + count; number++) {
            int from = (int) (number & (oldStates.length - 1));
            int to = slot(number);
            states[to] = oldStates[from];
            expiry[to] = oldExpiry[from];
            customers[to] = oldCustomers[from];
            spent[to] = oldSpent[from];
        }
    }
}
