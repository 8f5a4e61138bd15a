package org.dotterelcourse.coordination.limit;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Leases out the budgets of the customers whose home this daemon is.
 *
 * <p>Every slice is taken from the budget before it is sent, and a daemon spends only slices, so what all daemons spend
 * never exceeds the burst plus the rate while they have one home. The state is reconstructible: a new home starts with
 * empty budgets that fill at their rate. Two homes at once, in a partition, lease at most twice the rate.
 */
public final class LimitOwner {
    private final LimitSettings settings;
    private final Map<String, HomeAccount> accounts = new HashMap<>();
    private long forgottenNanos;

    /**
     * Makes a home without customers.
     *
     * @param settings the times
     * @param nowNanos the time
     */
    public LimitOwner(LimitSettings settings, long nowNanos) {
        this.settings = settings;
        this.forgottenNanos = nowNanos;
    }

    /**
     * This daemon is or becomes the home of a customer, or the customer's budget has changed.
     *
     * @param customer the customer
     * @param budget its budget
     * @param nowNanos the time
     */
    public void setBudget(String customer, Budget budget, long nowNanos) {
        HomeAccount account = accounts.get(customer);
        if (account == null) {
            accounts.put(customer, new HomeAccount(settings, budget, nowNanos));
        } else {
            account.budget(budget, nowNanos);
        }
    }

    /**
     * This daemon is no longer the home of a customer.
     *
     * @param customer the customer
     */
    public void removeCustomer(String customer) {
        accounts.remove(customer);
    }

    /**
     * A message has arrived. Wants for customers whose home is elsewhere aren't answered.
     *
     * @param from the sender's member name
     * @param message the message
     * @param nowNanos the time
     * @return what to do
     */
    public List<LimitEffect> onMessage(String from, LimitMessage.Wants message, long nowNanos) {
        if (nowNanos - forgottenNanos > settings.forgetNanos()) {
            forgottenNanos = nowNanos;
            accounts.values().forEach(account -> account.forget(nowNanos));
        }
        List<LimitMessage.Slice> slices = new ArrayList<>();
        for (LimitMessage.Want want : message.wants()) {
            HomeAccount account = accounts.get(want.customer());
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
     * Customers whose home this is.
     *
     * @return how many
     */
    public int size() {
        return accounts.size();
    }
}
