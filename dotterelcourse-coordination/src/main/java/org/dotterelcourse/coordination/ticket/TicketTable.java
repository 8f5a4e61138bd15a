package org.dotterelcourse.coordination.ticket;

import java.util.HashMap;
import java.util.Map;

/**
 * States of all unexpired tickets in a ring buffer. Ticket numbers increase and all tickets have the same lifetime, so
 * the oldest ticket is always the next to expire.
 */
final class TicketTable {
    /** State of a ticket. */
    enum State {
        /** The ticket can be spent. */
        UNSPENT,
        /** The ticket is spent; its call may have run. */
        SPENT,
        /** The ticket's call did not run and never will. */
        BURNED
    }

    /**
     * A spent ticket.
     *
     * @param holder the call on which the ticket was spent
     * @param outcome outcome of that call; null until it is reported
     */
    record Spent(TicketHolder holder, TicketOutcome outcome) {}

    private static final int INITIAL_CAPACITY = 16;
    private static final State[] STATES = State.values();

    private final int maxTickets;
    private final Map<String, Integer> countByCustomer = new HashMap<>();
    private byte[] states = new byte[INITIAL_CAPACITY];
    private long[] expiryNanos = new long[INITIAL_CAPACITY];
    private String[] customers = new String[INITIAL_CAPACITY];
    private Spent[] spent = new Spent[INITIAL_CAPACITY];
    private long firstNumber = 1;
    private int count;

    TicketTable(int maxTickets) {
        this.maxTickets = maxTickets;
    }

    boolean isFull() {
        return count >= maxTickets;
    }

    int count() {
        return count;
    }

    int count(String customer) {
        return countByCustomer.getOrDefault(customer, 0);
    }

    /** Monotonic time in nanoseconds at which the oldest ticket expires. The table must not be empty. */
    long nextExpiryNanos() {
        return expiryNanos[slot(firstNumber)];
    }

    long add(String customer, long expiryTimeNanos) {
        if (count == states.length) {
            grow();
        }
        long number = firstNumber + count;
        count++;
        int slot = slot(number);
        states[slot] = (byte) State.UNSPENT.ordinal();
        expiryNanos[slot] = expiryTimeNanos;
        customers[slot] = customer;
        countByCustomer.merge(customer, 1, Integer::sum);
        return number;
    }

    boolean contains(long number) {
        return number >= firstNumber && number < firstNumber + count;
    }

    /** True if a ticket with this number was ever minted, whether expired or not. */
    boolean wasMinted(long number) {
        return number >= 1 && number < firstNumber + count;
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

    void setOutcome(long number, TicketOutcome outcome) {
        spent[slot(number)] = new Spent(spent(number).holder(), outcome);
    }

    void burn(long number) {
        states[slot(number)] = (byte) State.BURNED.ordinal();
        spent[slot(number)] = null;
    }

    void expire(long nowNanos) {
        while (count > 0 && nextExpiryNanos() - nowNanos <= 0) {
            int slot = slot(firstNumber);
            countByCustomer.computeIfPresent(customers[slot], (customer, left) -> left == 1 ? null : left - 1);
            customers[slot] = null;
            spent[slot] = null;
            firstNumber++;
            count--;
        }
    }

    private int slot(long number) {
        return (int) (number & (states.length - 1));
    }

    /**
     * Doubles the ring buffer. The slot of a number depends on the buffer's size, so each ticket moves to its new slot.
     */
    private void grow() {
        byte[] oldStates = states;
        long[] oldExpiryNanos = expiryNanos;
        String[] oldCustomers = customers;
        Spent[] oldSpent = spent;
        int capacity = oldStates.length * 2;
        states = new byte[capacity];
        expiryNanos = new long[capacity];
        customers = new String[capacity];
        spent = new Spent[capacity];
        for (long number = firstNumber; number < firstNumber + count; number++) {
            int oldSlot = (int) (number & (oldStates.length - 1));
            int newSlot = slot(number);
            states[newSlot] = oldStates[oldSlot];
            expiryNanos[newSlot] = oldExpiryNanos[oldSlot];
            customers[newSlot] = oldCustomers[oldSlot];
            spent[newSlot] = oldSpent[oldSlot];
        }
    }
}
