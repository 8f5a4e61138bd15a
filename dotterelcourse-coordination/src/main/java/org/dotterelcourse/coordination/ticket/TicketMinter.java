package org.dotterelcourse.coordination.ticket;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.util.Optional;

import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

import org.dotterelcourse.coordination.MemberId;

/**
 * Mints tickets and permits each to be spent at most once. Tickets are signed with HMAC-SHA256 (RFC 2104) under a key
 * that only this incarnation of the process has, so that no other process can accept them by mistake.
 *
 * <p>The at-most-once guarantee depends only on the state of this object: a ticket changes from unspent to spent or
 * burned, or from spent to burned if its call did not run, and is never unspent again. A restarted process has a new
 * key and a new incarnation number, and answers "unknown" for tickets of its earlier incarnations.
 */
public final class TicketMinter {
    /** Maximum length of an outcome's detail in bytes. If the detail is longer, only the result is stored. */
    public static final int MAX_DETAIL_BYTES = 1024;

    private static final String ALGORITHM = "HmacSHA256";

    private final MemberId self;
    private final TicketSettings settings;
    private final TicketTable table;
    private final Mac mac;

    /**
     * Creates a minter without tickets.
     *
     * @param self member name of this process and the incarnation number with which it started
     * @param key at least 32 bytes from a secure random source, generated for this incarnation
     * @param settings timeouts and limits
     * @throws IllegalArgumentException if the key has fewer than 32 bytes
     */
    public TicketMinter(MemberId self, byte[] key, TicketSettings settings) {
        if (key.length < 32) {
            throw new IllegalArgumentException("the key has " + key.length + " bytes, at least 32 are required");
        }
        this.self = self;
        this.settings = settings;
        this.table = new TicketTable(settings.maxTickets());
        try {
            mac = Mac.getInstance(ALGORITHM);
            mac.init(new SecretKeySpec(key, ALGORITHM));
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException("this Java platform lacks " + ALGORITHM, e);
        }
    }

    /** Result of {@link TicketMinter#mint}. */
    public sealed interface MintResult {
        /**
         * A new ticket.
         *
         * @param token the encoded ticket for the caller
         * @param lifetimeNanos nanoseconds from now until the ticket expires
         */
        record Minted(String token, long lifetimeNanos) implements MintResult {}

        /**
         * The limit of the process or of the customer is reached. No ticket was minted: evicting an unexpired one
         * instead would let its call run a second time.
         *
         * @param retryAfterNanos nanoseconds from now until the oldest ticket of the process expires
         */
        record Full(long retryAfterNanos) implements MintResult {}
    }

    /**
     * Mints a ticket.
     *
     * @param customer the only customer that may spend the ticket
     * @param nowNanos current monotonic time in nanoseconds
     * @return the ticket, or the time after which to retry
     */
    public MintResult mint(String customer, long nowNanos) {
        table.expire(nowNanos);
        if (table.isFull() || table.count(customer) >= settings.maxPerCustomer()) {
            return new MintResult.Full(Math.max(1, table.nextExpiryNanos() - nowNanos));
        }
        long number = table.add(customer, nowNanos + settings.lifetimeNanos());
        String token = new TicketToken(self, number, sign(number, customer)).text();
        return new MintResult.Minted(token, settings.lifetimeNanos());
    }

    /**
     * Spends a ticket on a call. A repeated request for the same call gets the same answer until the call has ended.
     */
    TicketVerdict spend(TicketToken token, String customer, TicketHolder holder, long nowNanos) {
        Optional<TicketVerdict> rejection = validate(token, customer, nowNanos);
        if (rejection.isPresent()) {
            return rejection.get();
        }
        long number = token.number();
        if (table.state(number) == TicketTable.State.UNSPENT) {
            table.spend(number, holder);
            return new TicketVerdict.SpendNow();
        }
        if (table.state(number) == TicketTable.State.BURNED) {
            return new TicketVerdict.Burned();
        }
        TicketTable.Spent spent = table.spent(number);
        if (spent.outcome() == null && spent.holder().equals(holder)) {
            // The answer was lost or the request was duplicated. The holder ignores further permissions for the same
            // call.
            return new TicketVerdict.SpendNow();
        }
        return new TicketVerdict.AlreadySpent(Optional.ofNullable(spent.outcome()));
    }

    /**
     * Burns a ticket unless it is spent on another call. The holder of a spent ticket may still burn it, because a
     * daemon requests that only for a call that has timed out and will not run.
     */
    TicketVerdict burn(TicketToken token, String customer, TicketHolder holder, long nowNanos) {
        Optional<TicketVerdict> rejection = validate(token, customer, nowNanos);
        if (rejection.isPresent()) {
            return rejection.get();
        }
        TicketTable.Spent spent = table.spent(token.number());
        boolean sameHolder =
                spent != null && spent.outcome() == null && spent.holder().equals(holder);
        if (spent != null && !sameHolder) {
            return new TicketVerdict.AlreadySpent(Optional.ofNullable(spent.outcome()));
        }
        table.burn(token.number());
        return new TicketVerdict.Burned();
    }

    /**
     * Records the outcome reported by the holder of a spent ticket. Reports of other daemons and repeated reports are
     * ignored.
     *
     * @return a verdict that confirms the receipt
     */
    TicketVerdict report(TicketToken token, TicketHolder holder, TicketOutcome outcome, long nowNanos) {
        table.expire(nowNanos);
        if (token.minter().incarnation() != self.incarnation()) {
            return new TicketVerdict.Unknown(TicketVerdict.Reason.EARLIER_LIFE);
        }
        if (!table.contains(token.number())) {
            return new TicketVerdict.Expired();
        }
        TicketTable.Spent spent = table.spent(token.number());
        if (spent == null) {
            return new TicketVerdict.Burned();
        }
        if (spent.outcome() == null && spent.holder().equals(holder)) {
            storeOutcome(token.number(), outcome);
        }
        return new TicketVerdict.AlreadySpent(Optional.empty());
    }

    private void storeOutcome(long number, TicketOutcome outcome) {
        if (outcome.result() == TicketOutcome.Result.NOT_RUN) {
            table.burn(number);
            return;
        }
        boolean detailFits = outcome.detail().length <= MAX_DETAIL_BYTES;
        table.setOutcome(number, detailFits ? outcome : new TicketOutcome(outcome.result(), new byte[0]));
    }

    boolean isMintedHere(TicketToken token) {
        return token.minter().name().equals(self.name());
    }

    /**
     * Number of unexpired tickets.
     *
     * @return the number
     */
    public int size() {
        return table.count();
    }

    private Optional<TicketVerdict> validate(TicketToken token, String customer, long nowNanos) {
        table.expire(nowNanos);
        if (token.minter().incarnation() != self.incarnation()) {
            return Optional.of(new TicketVerdict.Unknown(TicketVerdict.Reason.EARLIER_LIFE));
        }
        boolean genuine = MessageDigest.isEqual(token.mac(), sign(token.number(), customer));
        if (!genuine || !table.wasMinted(token.number())) {
            return Optional.of(new TicketVerdict.Forged());
        }
        if (!table.contains(token.number())) {
            return Optional.of(new TicketVerdict.Expired());
        }
        return Optional.empty();
    }

    private byte[] sign(long number, String customer) {
        mac.update(ByteBuffer.allocate(2 * Long.BYTES)
                .putLong(self.incarnation())
                .putLong(number)
                .flip());
        mac.update(customer.getBytes(StandardCharsets.UTF_8));
        return mac.doFinal();
    }
}
