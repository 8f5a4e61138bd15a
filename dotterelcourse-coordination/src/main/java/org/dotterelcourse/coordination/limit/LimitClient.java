package org.dotterelcourse.coordination.limit;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Charges customers' calls to slices of their budgets, which it leases from the customers' owners.
 *
 * <p>A client whose owner does not answer switches to local mode: it spends its last share of the budget, which decays
 * to an equal share per member, until the owner answers again. Without local mode, the failure of one daemon would
 * cause the rejection of its customers' calls at all daemons. The last shares add up to at most the budget, and so do
 * equal shares, so members that enter local mode at the same time stay within the budget together. Members that enter
 * it at different times, or while other members still reach the owner, stay within twice the rate.
 */
public final class LimitClient {
    private static final int MAX_WANTS_PER_MESSAGE = 256;

    private final long life;
    private final LimitSettings settings;
    private final OwnerLookup owners;
    private final Map<String, ClientAccount> accounts = new HashMap<>();
    private final Set<ClientAccount> active = new LinkedHashSet<>();
    private int liveMembers = 1;
    private long lastSequence;

    /**
     * Creates a client without customers.
     *
     * @param life incarnation number with which this process started
     * @param settings timeouts and limits
     * @param owners finds the current owners of customers
     */
    public LimitClient(long life, LimitSettings settings, OwnerLookup owners) {
        this.life = life;
        this.settings = settings;
        this.owners = owners;
    }

    /** Finds the current owners of customers in this daemon's membership view. */
    @FunctionalInterface
    public interface OwnerLookup {
        /**
         * Finds a customer's owner.
         *
         * @param customer the customer
         * @return member name of the owner; empty if there is none
         */
        Optional<String> ownerOf(String customer);
    }

    /**
     * Sets the budget of a new customer, or changes that of an existing one.
     *
     * @param customer the customer
     * @param budget the customer's budget
     * @param nowNanos current monotonic time in nanoseconds
     */
    public void setBudget(String customer, Budget budget, long nowNanos) {
        accounts.computeIfAbsent(customer, name -> new ClientAccount(name, budget, nowNanos))
                .setBudget(budget);
    }

    /**
     * Removes a customer that is no longer configured.
     *
     * @param customer the customer
     */
    public void removeCustomer(String customer) {
        active.remove(accounts.remove(customer));
    }

    /**
     * Sets the number of live members, by which the budget is divided in local mode.
     *
     * @param live number of live members, this one included
     */
    public void setLiveMembers(int live) {
        liveMembers = Math.max(1, live);
    }

    /**
     * Charges an arriving call to its customer's budget.
     *
     * @param customer the call's customer
     * @param tokens estimated number of tokens of the prompt and the answer; at most the burst is charged
     * @param nowNanos current monotonic time in nanoseconds
     * @return whether the call was charged, must wait or is over the budget
     */
    public ChargeResult charge(String customer, long tokens, long nowNanos) {
        ClientAccount account = accounts.get(customer);
        if (account == null) {
            return new ChargeResult.UnknownCustomer();
        }
        active.add(account);
        Amount cost = new Amount(1, tokens).atMost(account.budget().burst());
        refillLocal(account, nowNanos);
        List<LimitEffect> effects = new ArrayList<>();
        if (account.tryCharge(cost, nowNanos)) {
            // Requests the next slice in advance, so that calls under steady load rarely wait for the owner.
            if (!account.isLocalMode() && !account.balance().covers(cost)) {
                requestSlice(account, cost, nowNanos, effects);
            }
            return new ChargeResult.Charged(cost, effects);
        }
        if (account.isLocalMode()) {
            return new ChargeResult.OverBudget(
                    account.nanosUntilLocal(cost, liveMembers, settings.halfLifeNanos(), nowNanos));
        }
        if (account.pending() == null && account.remainingBackoffNanos(nowNanos) > 0) {
            return new ChargeResult.OverBudget(account.remainingBackoffNanos(nowNanos));
        }
        if (account.pending() != null) {
            account.addUnmetDemand(cost);
        }
        requestSlice(account, cost, nowNanos, effects);
        account.setWaitingCalls(true);
        return new ChargeResult.AwaitingSlice(effects);
    }

    /**
     * Corrects the charge of an ended call to its actual cost. If the call used more than the estimate, the difference
     * becomes a debt that is paid before the customer's next call at this daemon.
     *
     * @param customer the call's customer
     * @param charged the amount from {@link ChargeResult.Charged}
     * @param tokens number of tokens that the call used; 0 if it did not run
     * @param nowNanos current monotonic time in nanoseconds
     */
    public void settle(String customer, Amount charged, long tokens, long nowNanos) {
        ClientAccount account = accounts.get(customer);
        if (account != null) {
            active.add(account);
            account.charge(new Amount(0, tokens - charged.tokens()), nowNanos);
        }
    }

    /**
     * Handles a message from an owner.
     *
     * @param message the message
     * @param nowNanos current monotonic time in nanoseconds
     * @return actions that the embedder must carry out
     */
    public List<LimitEffect> onMessage(LimitMessage.Slices message, long nowNanos) {
        List<LimitEffect> effects = new ArrayList<>();
        if (message.life() != life) {
            return effects;
        }
        for (LimitMessage.Slice slice : message.slices()) {
            ClientAccount account = accounts.get(slice.customer());
            if (account != null && account.applySlice(slice, nowNanos)) {
                account.leaveLocalMode();
                notifyWaitingCalls(account, effects);
            }
        }
        return effects;
    }

    /**
     * Advances timers: sends unanswered requests again, returns idle slices and switches to local mode. Must be called
     * every few tens of milliseconds.
     *
     * @param nowNanos current monotonic time in nanoseconds
     * @return actions that the embedder must carry out
     */
    public List<LimitEffect> advance(long nowNanos) {
        List<LimitEffect> effects = new ArrayList<>();
        Map<String, List<LimitMessage.Want>> wantsByOwner = new HashMap<>();
        active.removeIf(account -> account.isInactive(nowNanos, settings.idleNanos()));
        for (ClientAccount account : active) {
            if (!account.isLocalMode() && account.isUnansweredFor(settings.localAfterNanos(), nowNanos)) {
                account.enterLocalMode(nowNanos);
            }
            if (account.isLocalMode()) {
                notifyWaitingCalls(account, effects);
            }
            LimitMessage.Want due = dueWant(account, nowNanos);
            Optional<String> owner = due == null ? Optional.empty() : owners.ownerOf(account.customer());
            if (owner.isPresent()) {
                wantsByOwner
                        .computeIfAbsent(owner.get(), name -> new ArrayList<>())
                        .add(due);
            }
        }
        wantsByOwner.forEach((owner, wants) -> send(owner, wants, effects));
        return effects;
    }

    /**
     * Returns true if a customer's budget is spent in local mode because the owner does not answer.
     *
     * @param customer the customer
     * @return true in local mode; false if the owner answers or the customer is unknown
     */
    public boolean isLocalMode(String customer) {
        ClientAccount account = accounts.get(customer);
        return account != null && account.isLocalMode();
    }

    /** The request to send now: one that was not answered in time, or the return of an idle slice; null if none. */
    private LimitMessage.Want dueWant(ClientAccount account, long nowNanos) {
        if (account.pending() != null) {
            long timeout = account.isLocalMode() ? settings.localAfterNanos() : settings.answerTimeoutNanos();
            if (nowNanos - account.sentNanos() < timeout) {
                return null;
            }
            account.markSent(nowNanos);
            return account.pending();
        }
        boolean idle = nowNanos - account.lastUsedNanos() > settings.idleNanos();
        Amount rest = account.balance().atLeastZero();
        if (!idle || rest.isZero()) {
            return null;
        }
        return newWant(account, Amount.ZERO, rest, nowNanos);
    }

    private void requestSlice(ClientAccount account, Amount next, long nowNanos, List<LimitEffect> effects) {
        if (account.pending() != null || account.remainingBackoffNanos(nowNanos) > 0) {
            return;
        }
        Amount amount = account.takeDemand(next, settings.sliceNanos(), nowNanos);
        LimitMessage.Want want = newWant(account, amount, Amount.ZERO, nowNanos);
        owners.ownerOf(account.customer()).ifPresent(owner -> send(owner, List.of(want), effects));
    }

    private LimitMessage.Want newWant(ClientAccount account, Amount amount, Amount returned, long nowNanos) {
        lastSequence++;
        LimitMessage.Want want = new LimitMessage.Want(account.customer(), lastSequence, amount, returned);
        account.markPending(want);
        account.markSent(nowNanos);
        return want;
    }

    private void send(String owner, List<LimitMessage.Want> wants, List<LimitEffect> effects) {
        for (int from = 0; from < wants.size(); from += MAX_WANTS_PER_MESSAGE) {
            List<LimitMessage.Want> batch =
                    List.copyOf(wants.subList(from, Math.min(wants.size(), from + MAX_WANTS_PER_MESSAGE)));
            effects.add(new LimitEffect.Send(owner, new LimitMessage.Wants(life, batch)));
        }
    }

    private void refillLocal(ClientAccount account, long nowNanos) {
        if (account.isLocalMode()) {
            account.refillLocal(liveMembers, settings.halfLifeNanos(), nowNanos);
        }
    }

    private static void notifyWaitingCalls(ClientAccount account, List<LimitEffect> effects) {
        if (account.hasWaitingCalls()) {
            account.setWaitingCalls(false);
            effects.add(new LimitEffect.Refilled(account.customer()));
        }
    }
}
