package org.dotterelcourse.coordination.limit;

import java.util.HashMap;
import java.util.Map;

/** A customer's budget at its owner, and the leases of its clients. */
final class OwnerAccount {
    private static final int MILLION = 1_000_000;

    /** A daemon that leases slices. */
    private static final class Client {
        private long life;
        private long sequence;
        private LimitMessage.Slice lastSlice;
        private long lastRequestNanos;
        private double leasedTokens;
        private int shareMillionths;
    }

    private final LimitSettings settings;
    private final Map<String, Client> clients = new HashMap<>();
    private Budget budget;
    private TokenBucket requests;
    private TokenBucket tokens;

    /** Starts with only a fraction of the burst, because clients may still spend slices leased by an earlier owner. */
    OwnerAccount(LimitSettings settings, Budget budget, long nowNanos) {
        this.settings = settings;
        this.budget = budget;
        this.requests = new TokenBucket(
                budget.burst().requests(), initialLevel(budget.burst().requests()), nowNanos);
        this.tokens = new TokenBucket(
                budget.burst().tokens(), initialLevel(budget.burst().tokens()), nowNanos);
    }

    private long initialLevel(long burst) {
        return (long) (settings.initialFill() * burst);
    }

    void setBudget(Budget changed, long nowNanos) {
        refill(nowNanos);
        long requestsLeft = Math.min(requests.available(), changed.burst().requests());
        long tokensLeft = Math.min(tokens.available(), changed.burst().tokens());
        budget = changed;
        requests = new TokenBucket(changed.burst().requests(), requestsLeft, nowNanos);
        tokens = new TokenBucket(changed.burst().tokens(), tokensLeft, nowNanos);
    }

    /**
     * Leases a slice. Returns null if the request is from an earlier incarnation of the client or older than the last
     * answered one.
     */
    LimitMessage.Slice lease(String from, long life, LimitMessage.Want want, long nowNanos) {
        Client client = clients.get(from);
        if (client != null && (life < client.life || life == client.life && want.sequence() < client.sequence)) {
            return null;
        }
        if (client != null && life == client.life && want.sequence() == client.sequence) {
            // The reply was lost or the request was duplicated. Another lease would deduct the amount twice.
            client.lastRequestNanos = nowNanos;
            return client.lastSlice;
        }
        if (client == null || life > client.life) {
            client = new Client();
            clients.put(from, client);
        }
        decayLeased(client, nowNanos);
        client.life = life;
        client.sequence = want.sequence();
        client.lastRequestNanos = nowNanos;
        refill(nowNanos);
        requests.giveBack(want.returned().requests());
        tokens.giveBack(want.returned().tokens());
        client.lastSlice = newSlice(client, want, nowNanos);
        return client.lastSlice;
    }

    void expireClients(long nowNanos) {
        clients.values().removeIf(client -> nowNanos - client.lastRequestNanos > settings.clientExpiryNanos());
    }

    private LimitMessage.Slice newSlice(Client client, LimitMessage.Want want, long nowNanos) {
        int activeClients = activeClients(nowNanos);
        Amount fair = new Amount(
                fairShare(requests.available(), activeClients), fairShare(tokens.available(), activeClients));
        Amount leased = want.amount().atMost(fair);
        requests.take(leased.requests());
        tokens.take(leased.tokens());
        client.leasedTokens += leased.tokens();
        client.shareMillionths = shareMillionths(client, nowNanos);
        Amount missing = want.amount().minus(leased);
        long retryAfter = Math.max(
                requests.nanosUntil(missing.requests(), budget.perSecond().requests()),
                tokens.nanosUntil(missing.tokens(), budget.perSecond().tokens()));
        return new LimitMessage.Slice(want.customer(), want.sequence(), leased, client.shareMillionths, retryAfter);
    }

    /** An equal share of the available units, so that the callers of one daemon cannot starve those of the others. */
    private static long fairShare(long units, int activeClients) {
        return (units + activeClients - 1) / activeClients;
    }

    private int activeClients(long nowNanos) {
        int active = 0;
        for (Client client : clients.values()) {
            if (nowNanos - client.lastRequestNanos <= 2 * settings.sliceNanos()) {
                active++;
            }
        }
        return Math.max(1, active);
    }

    /**
     * The client's share of the recently leased tokens, weighted by exponential decay, capped to the remainder of the
     * other clients' shares. In local mode each client spends the last share that it received, so all shares sent must
     * add up to at most the budget.
     */
    private int shareMillionths(Client client, long nowNanos) {
        double total = 0;
        int otherShares = 0;
        for (Client each : clients.values()) {
            double decayed = each == client ? each.leasedTokens : each.leasedTokens * decayFactor(each, nowNanos);
            total += decayed;
            otherShares += each == client ? 0 : each.shareMillionths;
        }
        int uncapped = total <= 0 ? 0 : (int) (MILLION * client.leasedTokens / total);
        return Math.max(0, Math.min(uncapped, MILLION - otherShares));
    }

    private void decayLeased(Client client, long nowNanos) {
        client.leasedTokens *= decayFactor(client, nowNanos);
    }

    private double decayFactor(Client client, long nowNanos) {
        return Math.pow(0.5, (double) (nowNanos - client.lastRequestNanos) / settings.halfLifeNanos());
    }

    private void refill(long nowNanos) {
        requests.refill(budget.perSecond().requests(), nowNanos);
        tokens.refill(budget.perSecond().tokens(), nowNanos);
    }
}
