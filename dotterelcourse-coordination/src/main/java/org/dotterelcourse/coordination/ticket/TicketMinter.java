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
 * Mints tickets and says, once for each, that it may be spent. The signature is HMAC-SHA256 (RFC 2104) under a key that
 * only this incarnation of the process knows, so that no other process can accept its tickets by mistake.
 *
 * <p>At most once rests on this object's memory alone: a ticket goes from unspent to spent, or to burned, and never
 * back. A restarted process has another key and another life, and answers "unknown" for what its earlier life minted.
 */
public final class TicketMinter {
    /** Details of an outcome that are longer than this, in bytes, are not kept; the result is. */
    public static final int MAX_DETAIL = 1024;

    private static final String ALGORITHM = "HmacSHA256";

    private final MemberId self;
    private final TicketSettings settings;
    private final TicketTable table;
    private final Mac mac;

    /**
     * Makes a mint without tickets.
     *
     * @param self this process: its name, and the incarnation with which it started
     * @param key at least 32 bytes from a source of secure randomness, fresh for this incarnation
     * @param settings times and bounds
     * @throws IllegalArgumentException if the key is too short
     */
    public TicketMinter(MemberId self, byte[] key, TicketSettings settings) {
        if (key.length < 32) {
            throw new IllegalArgumentException("a key of " + key.length + " bytes is too short");
        }
        this.self = self;
        this.settings = settings;
        this.table = new TicketTable(settings.maxTickets());
        try {
            mac = Mac.getInstance(ALGORITHM);
            mac.init(new SecretKeySpec(key, ALGORITHM));
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException("every Java platform has " + ALGORITHM, e);
        }
    }

    /** The result of minting. */
    public sealed interface MintResult {
        /**
         * A new ticket.
         *
         * @param token the text for the caller
         * @param lifetimeNanos how long it may be spent
         */
        record Minted(String token, long lifetimeNanos) implements MintResult {}

        /**
         * No more tickets can be remembered. Forgetting one early instead would let it run a second time.
         *
         * @param retryAfterNanos when the oldest ticket expires, from now
         */
        record Full(long retryAfterNanos) implements MintResult {}
    }

    /**
     * Mints a ticket.
     *
     * @param customer the only customer who may spend it
     * @param nowNanos the time
     * @return the ticket, or when to ask again
     */
    public MintResult mint(String customer, long nowNanos) {
        table.expire(nowNanos);
        if (table.full() || table.count(customer) >= settings.maxPerCustomer()) {
            return new MintResult.Full(Math.max(1, table.nextExpiryNanos() - nowNanos));
        }
        long number = table.add(customer, nowNanos + settings.lifetimeNanos());
        String token = new TicketToken(self, number, sign(number, customer)).text();
        return new MintResult.Minted(token, settings.lifetimeNanos());
    }

    /** Spends a ticket of this mint on a request. The same request gets the same answer again. */
    TicketVerdict spend(TicketToken token, String customer, TicketHolder holder, long nowNanos) {
        Optional<TicketVerdict> unfit = check(token, customer, nowNanos);
        if (unfit.isPresent()) {
            return unfit.get();
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
            // The answer to the first message was lost or the message came twice. The holder runs its request once
            // however often it is told to.
            return new TicketVerdict.SpendNow();
        }
        return new TicketVerdict.AlreadySpent(Optional.ofNullable(spent.outcome()));
    }

    /**
     * Burns a ticket of this mint unless it was spent. The request that it was spent on may still have it burned: a
     * daemon asks so only for a call that it has given up and won't run.
     */
    TicketVerdict burn(TicketToken token, String customer, TicketHolder holder, long nowNanos) {
        Optional<TicketVerdict> unfit = check(token, customer, nowNanos);
        if (unfit.isPresent()) {
            return unfit.get();
        }
        TicketTable.Spent spent = table.spent(token.number());
        boolean own = spent != null && spent.outcome() == null && spent.holder().equals(holder);
        if (spent != null && !own) {
            return new TicketVerdict.AlreadySpent(Optional.ofNullable(spent.outcome()));
        }
        table.burn(token.number());
        return new TicketVerdict.Burned();
    }

    /**
     * The holder of a spent ticket tells what became of its request. Others, and a second report, change nothing.
     *
     * @return what is known of the ticket then
     */
    TicketVerdict report(TicketToken token, TicketHolder holder, TicketOutcome outcome, long nowNanos) {
        table.expire(nowNanos);
        if (token.minter().incarnation() != self.incarnation()) {
            return new TicketVerdict.Unknown(TicketVerdict.Reason.EARLIER_LIFE);
        }
        if (!table.knows(token.number())) {
            return new TicketVerdict.Expired();
        }
        TicketTable.Spent spent = table.spent(token.number());
        if (spent == null) {
            return new TicketVerdict.Burned();
        }
        if (spent.outcome() == null && spent.holder().equals(holder)) {
            keep(token.number(), outcome);
        }
        return new TicketVerdict.AlreadySpent(Optional.empty());
    }

    private void keep(long number, TicketOutcome outcome) {
        if (outcome.result() == TicketOutcome.Result.NOT_RUN) {
            table.burn(number);
            return;
        }
        boolean small = outcome.detail().length <= MAX_DETAIL;
        table.outcome(number, small ? outcome : new TicketOutcome(outcome.result(), new byte[0]));
    }

    boolean minted(TicketToken token) {
        return token.minter().name().equals(self.name());
    }

    /**
     * Tickets that have not expired.
     *
     * @return how many are remembered
     */
    public int size() {
        return table.count();
    }

    private Optional<TicketVerdict> check(TicketToken token, String customer, long nowNanos) {
        table.expire(nowNanos);
        if (token.minter().incarnation() != self.incarnation()) {
            return Optional.of(new TicketVerdict.Unknown(TicketVerdict.Reason.EARLIER_LIFE));
        }
        boolean genuine = MessageDigest.isEqual(token.mac(), sign(token.number(), customer));
        if (!genuine || !table.made(token.number())) {
            return Optional.of(new TicketVerdict.Forged());
        }
        if (!table.knows(token.number())) {
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
