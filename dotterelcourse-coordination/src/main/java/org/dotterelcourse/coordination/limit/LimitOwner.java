package org.dotterelcourse.coordination.limit;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Owner of some customers' budgets, which it leases in slices to the clients.
 *
 * <p>Each slice is deducted from the budget before it is sent, and clients spend only slices. With a single owner, the
 * total spent therefore never exceeds the burst plus the rate. The state is not replicated: a new owner starts with
 * token buckets at the initial fill level, which refill at their rate. During a partition, two owners together lease at
 * most twice the rate.
 */
public final class LimitOwner {
    private final LimitSettings settings;
    private final Map<String, OwnerAccount> accounts = new HashMap<>();
    private long lastExpiryNanos;

    /**
     * Creates an owner without customers.
     *
     * @param settings timeouts and limits
     * @param nowNanos current monotonic time in nanoseconds
     */
    public LimitOwner(LimitSettings settings, long nowNanos) {
        this.settings = settings;
        this.lastExpiryNanos = nowNanos;
    }

    /**
     * Sets the budget of a customer that this daemon owns. The first call for a customer creates its token buckets;
     * later calls change the budget.
     *
     * @param customer the customer
     * @param budget the customer's budget
     * @param nowNanos current monotonic time in nanoseconds
     */
    public void setBudget(String customer, Budget budget, long nowNanos) {
        OwnerAccount account = accounts.get(customer);
        if (account == null) {
            accounts.put(customer, new OwnerAccount(settings, budget, nowNanos));
        } else {
            account.setBudget(budget, nowNanos);
        }
    }

    /**
     * Removes a customer that this daemon no longer owns.
     *
     * @param customer the customer
     */
    public void removeCustomer(String customer) {
        accounts.remove(customer);
    }

    /**
     * Handles a message from a client. Requests for customers that this daemon does not own are not answered.
     *
     * @param from member name of the sender
     * @param message the message
     * @param nowNanos current monotonic time in nanoseconds
     * @return actions that the embedder must carry out
     */
    public List<LimitEffect> onMessage(String from, LimitMessage.Wants message, long nowNanos) {
        if (nowNanos - lastExpiryNanos > settings.clientExpiryNanos()) {
            lastExpiryNanos = nowNanos;
            accounts.values().forEach(account -> account.expireClients(nowNanos));
        }
        List<LimitMessage.Slice> slices = new ArrayList<>();
        for (LimitMessage.Want want : message.wants()) {
            OwnerAccount account = accounts.get(want.customer());
            LimitMessage.Slice slice = account == null ? null : account.lease(from, message.life(), want, nowNanos);
            if (slice != null) {
                slices.add(slice);
            }
        }
        if (slices.isEmpty()) {
            return List.of();
        }
        return List.of(new LimitEffect.Send(from, new LimitMessage.Slices(message.life(), slices)));
    }

    /**
     * Number of customers that this daemon owns.
     *
     * @return the number
     */
    public int size() {
        return accounts.size();
    }
}
