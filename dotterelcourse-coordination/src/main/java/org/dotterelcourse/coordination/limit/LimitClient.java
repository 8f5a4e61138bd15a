package org.dotterelcourse.coordination.limit;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Charges customers' calls to slices of their budgets, which it gets from the customers' homes.
 *
 * <p>A daemon whose home doesn't answer goes on alone with its last share of the budget, which decays to an equal part
 * for each member; when the home answers again, it stops. Refusing instead would turn calls away because one daemon is gone.
 * The last shares add up to the budget at most and so do equal parts, so members that went alone together stay within
 * the budget, and members that went alone at different times, or beside a home that others reach, within twice its
 * rate.
 */
public final class LimitClient {
    private static final int BATCH = 256;

    private final long life;
    private final LimitSettings settings;
    private final Homes homes;
    private final Map<String, ClientAccount> accounts = new HashMap<>();
    private final Set<ClientAccount> active = new LinkedHashSet<>();
    private int members = 1;
    private long lastSequence;

    /**
     * Makes a client without customers.
     *
     * @param life the incarnation with which this process started
     * @param settings the times
     * @param homes tells where customers' homes are
     */
    public LimitClient(long life, LimitSettings settings, Homes homes) {
        this.life = life;
        this.settings = settings;
        this.homes = homes;
    }

    /** Tells where customers' homes are, by what the daemon knows now. */
    @FunctionalInterface
    public interface Homes {
        /**
         * Finds a customer's home.
         *
         * @param customer the customer
         * @return the home's member name; empty if none is known
         */
        Optional<String> homeOf(String customer);
    }

    /**
     * A customer's budget is known or has changed.
     *
     * @param customer the customer
     * @param budget its budget
     * @param nowNanos the time
     */
    public void setBudget(String customer, Budget budget, long nowNanos) {
        accounts.computeIfAbsent(customer, name -> new ClientAccount(name, budget, nowNanos))
                .budget(budget);
    }

    /**
     * A customer is gone from the configuration.
     *
     * @param customer the customer
     */
    public void removeCustomer(String customer) {
        active.remove(accounts.remove(customer));
    }

    /**
     * The number of live members has changed.
     *
     * @param live how many there are, this one included
     */
    public void setLiveMembers(int live) {
        members = Math.max(1, live);
    }

    /**
     * A call has arrived.
     *
     * @param customer its customer
     * @param tokens the estimate of its prompt and answer; above the burst, the burst is charged
     * @param nowNanos the time
     * @return whether it is within the budget
     */
    public ChargeResult charge(String customer, long tokens, long nowNanos) {
        ClientAccount account = accounts.get(customer);
        if (account == null) {
            return new ChargeResult.UnknownCustomer();
        }
        active.add(account);
        Amount cost = new Amount(1, tokens).atMost(account.budget().burst());
        fillAlone(account, nowNanos);
        List<LimitEffect> effects = new ArrayList<>();
        if (account.take(cost, nowNanos)) {
            // Asks ahead, so that steady use rarely has to wait for the home.
            if (!account.alone() && !account.balance().covers(cost)) {
                ask(account, cost, nowNanos, effects);
            }
            return new ChargeResult.Charged(cost, effects);
        }
        if (account.alone()) {
            return new ChargeResult.OverBudget(account.nanosUntilAlone(cost, members, settings.halfLifeNanos(), nowNanos));
        }
        if (account.pending() == null && account.emptyFor(nowNanos) > 0) {
            return new ChargeResult.OverBudget(account.emptyFor(nowNanos));
        }
        if (account.pending() != null) {
            account.unmet(cost);
        }
        ask(account, cost, nowNanos, effects);
        account.waits(true);
        return new ChargeResult.AwaitingSlice(effects);
    }

    /**
     * A call has ended and its true cost is known. What it used beyond the estimate becomes a debt that is paid before
     * the customer's next call here.
     *
     * @param customer its customer
     * @param charged what {@link ChargeResult.Charged} charged
     * @param tokens what it used; 0 if it did not run
     * @param nowNanos the time
     */
    public void settle(String customer, Amount charged, long tokens, long nowNanos) {
        ClientAccount account = accounts.get(customer);
        if (account != null) {
            active.add(account);
            account.spend(new Amount(0, tokens - charged.tokens()), nowNanos);
        }
    }

    /**
     * A message has arrived.
     *
     * @param message the message
     * @param nowNanos the time
     * @return what to do
     */
    public List<LimitEffect> onMessage(LimitMessage.Slices message, long nowNanos) {
        List<LimitEffect> effects = new ArrayList<>();
        if (message.life() != life) {
            return effects;
        }
        for (LimitMessage.Slice slice : message.slices()) {
            ClientAccount account = accounts.get(slice.customer());
            if (account != null && account.received(slice, nowNanos)) {
                account.notAlone();
                wake(account, effects);
            }
        }
        return effects;
    }

    /**
     * Time has passed. To be called every few tens of milliseconds.
     *
     * @param nowNanos the time
     * @return what to do
     */
    public List<LimitEffect> advance(long nowNanos) {
        List<LimitEffect> effects = new ArrayList<>();
        Map<String, List<LimitMessage.Want>> byHome = new HashMap<>();
        active.removeIf(account -> account.quiet(nowNanos, settings.idleNanos()));
        for (ClientAccount account : active) {
            if (!account.alone() && account.unansweredFor(settings.silentAfterNanos(), nowNanos)) {
                account.goAlone(nowNanos);
            }
            if (account.alone()) {
                wake(account, effects);
            }
            LimitMessage.Want due = due(account, nowNanos);
            Optional<String> home = due == null ? Optional.empty() : homes.homeOf(account.customer());
            if (home.isPresent()) {
                byHome.computeIfAbsent(home.get(), name -> new ArrayList<>()).add(due);
            }
        }
        byHome.forEach((home, wants) -> send(home, wants, effects));
        return effects;
    }

    /**
     * Whether a customer's budget is spent without its home.
     *
     * @param customer the customer
     * @return true if the home doesn't answer
     */
    public boolean alone(String customer) {
        ClientAccount account = accounts.get(customer);
        return account != null && account.alone();
    }

    /** The want that has to go out now: one that was not answered in time, or the return of an idle slice. */
    private LimitMessage.Want due(ClientAccount account, long nowNanos) {
        if (account.pending() != null) {
            long timeout = account.alone() ? settings.silentAfterNanos() : settings.answerTimeoutNanos();
            if (nowNanos - account.sentNanos() < timeout) {
                return null;
            }
            account.sent(nowNanos);
            return account.pending();
        }
        boolean idle = nowNanos - account.lastUsedNanos() > settings.idleNanos();
        Amount rest = account.balance().atLeastNothing();
        if (!idle || rest.isNothing()) {
            return null;
        }
        return want(account, Amount.NOTHING, rest, nowNanos);
    }

    private void ask(ClientAccount account, Amount next, long nowNanos, List<LimitEffect> effects) {
        if (account.pending() != null || account.emptyFor(nowNanos) > 0) {
            return;
        }
        Amount amount = account.demand(next, settings.sliceNanos(), nowNanos);
        LimitMessage.Want want = want(account, amount, Amount.NOTHING, nowNanos);
        homes.homeOf(account.customer()).ifPresent(home -> send(home, List.of(want), effects));
    }

    private LimitMessage.Want want(ClientAccount account, Amount amount, Amount returned, long nowNanos) {
        lastSequence++;
        LimitMessage.Want want = new LimitMessage.Want(account.customer(), lastSequence, amount, returned);
        account.asks(want);
        account.sent(nowNanos);
        return want;
    }

    private void send(String home, List<LimitMessage.Want> wants, List<LimitEffect> effects) {
        for (int from = 0; from < wants.size(); from += BATCH) {
            List<LimitMessage.Want> batch = List.copyOf(wants.subList(from, Math.min(wants.size(), from + BATCH)));
            effects.add(new LimitEffect.Send(home, new LimitMessage.Wants(life, batch)));
        }
    }

    private void fillAlone(ClientAccount account, long nowNanos) {
        if (account.alone()) {
            account.fillAlone(members, settings.halfLifeNanos(), nowNanos);
        }
    }

    private static void wake(ClientAccount account, List<LimitEffect> effects) {
        if (account.waits()) {
            account.waits(false);
            effects.add(new LimitEffect.Refilled(account.customer()));
        }
    }
}
