package org.dotterelcourse.coordination.limit;

import java.util.HashMap;
import java.util.Map;

/** One customer's budget at its home, and what the daemons have of it. */
final class HomeAccount {
    private static final int MILLION = 1_000_000;

    /** What the home knows of one daemon. */
    private static final class Holder {
        private long life;
        private long sequence;
        private LimitMessage.Slice lastSlice;
        private long heardNanos;
        private double leased;
        private int share;
    }

    private final LimitSettings settings;
    private final Map<String, Holder> holders = new HashMap<>();
    private Budget budget;
    private Bucket requests;
    private Bucket tokens;

    /** Starts with the opening part of the burst only: what an earlier home has leased out may still be spent. */
    HomeAccount(LimitSettings settings, Budget budget, long nowNanos) {
        this.settings = settings;
        this.budget = budget;
        this.requests =
                new Bucket(budget.burst().requests(), opening(budget.burst().requests()), nowNanos);
        this.tokens = new Bucket(budget.burst().tokens(), opening(budget.burst().tokens()), nowNanos);
    }

    private long opening(long burst) {
        return (long) (settings.opening() * burst);
    }

    void budget(Budget changed, long nowNanos) {
        fill(nowNanos);
        long requestsLeft = Math.min(requests.units(), changed.burst().requests());
        long tokensLeft = Math.min(tokens.units(), changed.burst().tokens());
        budget = changed;
        requests = new Bucket(changed.burst().requests(), requestsLeft, nowNanos);
        tokens = new Bucket(changed.burst().tokens(), tokensLeft, nowNanos);
    }

    /** Leases a slice; null if the want is from an earlier life of the daemon or older than one that was answered. */
    LimitMessage.Slice lease(String from, long life, LimitMessage.Want want, long nowNanos) {
        Holder holder = holders.get(from);
        if (holder != null && (life < holder.life || life == holder.life && want.sequence() < holder.sequence)) {
            return null;
        }
        if (holder != null && life == holder.life && want.sequence() == holder.sequence) {
            // The slice was lost, or the want came twice. Leasing again would take the amount from the budget twice.
            holder.heardNanos = nowNanos;
            return holder.lastSlice;
        }
        if (holder == null || life > holder.life) {
            holder = new Holder();
            holders.put(from, holder);
        }
        fade(holder, nowNanos);
        holder.life = life;
        holder.sequence = want.sequence();
        holder.heardNanos = nowNanos;
        fill(nowNanos);
        requests.put(want.returned().requests());
        tokens.put(want.returned().tokens());
        holder.lastSlice = slice(holder, want, nowNanos);
        return holder.lastSlice;
    }

    void forget(long nowNanos) {
        holders.values().removeIf(holder -> nowNanos - holder.heardNanos > settings.forgetNanos());
    }

    private LimitMessage.Slice slice(Holder holder, LimitMessage.Want want, long nowNanos) {
        int active = active(nowNanos);
        Amount fair = new Amount(fair(requests.units(), active), fair(tokens.units(), active));
        Amount given = want.amount().atMost(fair);
        requests.take(given.requests());
        tokens.take(given.tokens());
        holder.leased += given.tokens();
        holder.share = share(holder, nowNanos);
        Amount missing = want.amount().minus(given);
        long retryAfter = Math.max(
                requests.nanosUntil(missing.requests(), budget.perSecond().requests()),
                tokens.nanosUntil(missing.tokens(), budget.perSecond().tokens()));
        return new LimitMessage.Slice(want.customer(), want.sequence(), given, holder.share, retryAfter);
    }

    /** An equal part of what is there, so that one daemon's callers can't use up what the others' could have. */
    private static long fair(long units, int active) {
        return (units + active - 1) / active;
    }

    private int active(long nowNanos) {
        int active = 0;
        for (Holder holder : holders.values()) {
            if (nowNanos - holder.heardNanos <= 2 * settings.sliceNanos()) {
                active++;
            }
        }
        return Math.max(1, active);
    }

    /**
     * The daemon's part of what was leased lately, but no more than the parts of the others leave: each daemon goes on
     * with the last part that it was told, so all that were told must add up to the budget at most.
     */
    private int share(Holder of, long nowNanos) {
        double total = 0;
        int others = 0;
        for (Holder holder : holders.values()) {
            double faded = holder == of ? holder.leased : holder.leased * fading(holder, nowNanos);
            total += faded;
            others += holder == of ? 0 : holder.share;
        }
        int wanted = total <= 0 ? 0 : (int) (MILLION * of.leased / total);
        return Math.max(0, Math.min(wanted, MILLION - others));
    }

    private void fade(Holder holder, long nowNanos) {
        holder.leased *= fading(holder, nowNanos);
    }

    private double fading(Holder holder, long nowNanos) {
        return Math.pow(0.5, (double) (nowNanos - holder.heardNanos) / settings.halfLifeNanos());
    }

    private void fill(long nowNanos) {
        requests.fill(budget.perSecond().requests(), nowNanos);
        tokens.fill(budget.perSecond().tokens(), nowNanos);
    }
}
