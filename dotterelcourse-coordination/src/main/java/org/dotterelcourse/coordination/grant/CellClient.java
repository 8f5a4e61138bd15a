package org.dotterelcourse.coordination.grant;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;

/**
 * The asker's side of one cell: asks the current owner for workers, renews what it holds, tells a new owner what the
 * old one granted, and falls back to a local arbiter while no owner answers.
 *
 * <p>An ask is answered once: by one {@link ClientEffect.Granted}, {@link ClientEffect.Refused} or
 * {@link ClientEffect.DeadlinePassed}. Any further grant for it, be it a duplicate, late, from a former owner or for an
 * ask that was withdrawn, goes back unused; otherwise the same request would be sent to two workers, which shows as two
 * executions of one request id. That promise rests on this object's own state alone, never on what an owner believes.
 *
 * <p>A state machine for one thread: events go in with their time in nanoseconds of a monotonic clock, effects come out.
 */
public final class CellClient {
    /** The reason code of a refusal because the client keeps as many asks as it may. */
    public static final String CLIENT_FULL = "CLIENT_FULL";

    private static final byte[] UNUSED = {};

    private final long life;
    private final GrantSettings settings;
    private final ClientBook book = new ClientBook();
    private final OwnerLink link;
    private final LocalMode local;
    private long lastRenewNanos;
    private long lastAsk;

    /**
     * Makes a client that knows no owner yet.
     *
     * @param cell the cell's name
     * @param life the incarnation with which this process started; it must not rise while the process lives
     * @param settings times and bounds, the same as the owner's
     * @param localArbiter decides while no owner answers, with this member's fraction of the capacity; must be empty
     * @param random draws the term of local grants
     */
    public CellClient(String cell, long life, GrantSettings settings, Arbiter localArbiter, RandomGenerator random) {
        this.life = life;
        this.settings = settings;
        this.link = new OwnerLink(cell, life, settings, book);
        this.local = new LocalMode(localArbiter, random.nextLong(), book);
    }

    /**
     * Asks for a worker.
     *
     * @param arrivalNanos when the request arrived; a request that asks again keeps its first arrival
     * @param deadlineNanos when the caller no longer wants it
     * @param terms the payload for the arbiter
     * @param nowNanos the time
     * @return the ask's number and what to do
     */
    public ClientEffect.Asked ask(long arrivalNanos, long deadlineNanos, byte[] terms, long nowNanos) {
        List<ClientEffect> effects = new ArrayList<>();
        lastAsk++;
        if (book.asks().size() >= settings.maxAsks()) {
            effects.add(new ClientEffect.Refused(lastAsk, CLIENT_FULL, settings.renewNanos()));
            return new ClientEffect.Asked(lastAsk, effects);
        }
        ClientAsk ask = new ClientAsk(lastAsk, arrivalNanos, deadlineNanos, terms);
        book.asks().put(lastAsk, ask);
        if (local.active()) {
            local.offer(ask, nowNanos, effects);
        } else {
            link.ask(ask, nowNanos, effects);
        }
        return new ClientEffect.Asked(ask.number(), effects);
    }

    /**
     * The caller has gone. An ask that was granted is to be released instead; for it, and for one that has ended,
     * nothing happens.
     *
     * @param ask the ask's number
     * @param nowNanos the time
     * @return what to do
     */
    public List<ClientEffect> withdraw(long ask, long nowNanos) {
        List<ClientEffect> effects = new ArrayList<>();
        ClientAsk found = book.find(ask);
        if (found != null && found.waits()) {
            drop(found, nowNanos, effects);
        }
        return effects;
    }

    /**
     * Whether the request may be sent to its worker now. To be called right before the first byte is written: a process
     * that was paused between grant and use would otherwise run a request that its owner has long counted as gone.
     *
     * @param ask the ask's number
     * @param nowNanos the time
     * @return the verdict; {@link GrantCheck.Usable} at most once for each ask
     */
    public GrantCheck tryUse(long ask, long nowNanos) {
        ClientAsk found = book.find(ask);
        if (found == null || found.state() != ClientAsk.State.GRANTED || found.used()) {
            return new GrantCheck.NotHeld();
        }
        if (found.deadlinePassed(nowNanos)) {
            return new GrantCheck.DeadlinePassed(release(ask, UNUSED, nowNanos));
        }
        if (found.leaseEnded(nowNanos)) {
            return new GrantCheck.LeaseExpired(release(ask, UNUSED, nowNanos));
        }
        found.use();
        return new GrantCheck.Usable(found.worker());
    }

    /**
     * A granted request has made progress; the owner hears of it with the next renewal.
     *
     * @param ask the ask's number
     * @param units how much has been done so far
     * @param nowNanos the time
     * @return what to do
     */
    public List<ClientEffect> progress(long ask, int units, long nowNanos) {
        List<ClientEffect> effects = new ArrayList<>();
        ClientAsk found = book.find(ask);
        if (found != null) {
            found.progress(units);
            local.progress(found, nowNanos, effects);
        }
        return effects;
    }

    /**
     * A granted request has ended, or its grant was not used. Unknown asks are passed over.
     *
     * @param ask the ask's number
     * @param observation the payload for the arbiter; empty if the grant was not used
     * @param nowNanos the time
     * @return what to do
     */
    public List<ClientEffect> release(long ask, byte[] observation, long nowNanos) {
        List<ClientEffect> effects = new ArrayList<>();
        ClientAsk found = book.find(ask);
        if (found == null || found.waits()) {
            return effects;
        }
        book.asks().remove(ask);
        local.release(found, observation, nowNanos, effects);
        link.tell(new GrantMessage.Release(ask, found.grant(), observation), nowNanos, effects);
        return effects;
    }

    /**
     * The membership names another owner, the same one in a new life, or none.
     *
     * @param newOwner the owner's member name
     * @param nowNanos the time
     * @return what to do
     */
    public List<ClientEffect> ownerChanged(Optional<String> newOwner, long nowNanos) {
        List<ClientEffect> effects = new ArrayList<>();
        link.ownerChanged(newOwner.orElse(""), nowNanos, effects);
        return effects;
    }

    /**
     * A message has arrived.
     *
     * @param from the sender's member name
     * @param message the message
     * @param nowNanos the time
     * @return what to do
     */
    public List<ClientEffect> onMessage(String from, GrantMessage.ToClient message, long nowNanos) {
        List<ClientEffect> effects = new ArrayList<>();
        if (message.life() != life) {
            return effects;
        }
        boolean current = link.isOwner(from);
        if (message.body() instanceof GrantMessage.Granted granted) {
            onGranted(from, message, granted, nowNanos, effects);
        }
        if (current && message.body() instanceof GrantMessage.NotOwner) {
            link.expectAnswer(nowNanos);
        } else if (current) {
            onOwner(link.inTerm(from, message), message, nowNanos, effects);
        }
        return effects;
    }

    /**
     * Time has passed. To be called every few tens of milliseconds.
     *
     * @param nowNanos the time
     * @return what to do
     */
    public List<ClientEffect> advance(long nowNanos) {
        List<ClientEffect> effects = new ArrayList<>();
        passDeadlines(nowNanos, effects);
        if (!local.active() && link.silent(nowNanos)) {
            local.enter(nowNanos, effects);
        }
        if (local.active()) {
            local.advance(nowNanos, effects);
        }
        link.repeat(nowNanos, effects);
        if (nowNanos - lastRenewNanos >= settings.renewNanos()) {
            lastRenewNanos = nowNanos;
            if (local.active() || !book.asks().isEmpty()) {
                link.renew(nowNanos, effects);
            }
        }
        return effects;
    }

    /**
     * Whether requests are granted by the local arbiter.
     *
     * @return true in local mode
     */
    public boolean isLocalMode() {
        return local.active();
    }

    /**
     * Asks that wait or hold a grant.
     *
     * @return how many
     */
    public int size() {
        return book.asks().size();
    }

    private void onOwner(boolean inTerm, GrantMessage.ToClient message, long nowNanos, List<ClientEffect> effects) {
        link.answered(message, nowNanos, effects);
        if (local.active()) {
            local.leave(nowNanos, effects);
            link.register(nowNanos, effects);
        }
        if (message.body() instanceof GrantMessage.Queued queued) {
            ClientAsk ask = book.find(queued.ask());
            if (ask != null && ask.state() == ClientAsk.State.UNANSWERED) {
                ask.queued();
            }
        } else if (message.body() instanceof GrantMessage.Refused refused) {
            ClientAsk ask = book.find(refused.ask());
            if (ask != null && ask.waits() && inTerm) {
                book.asks().remove(refused.ask());
                effects.add(new ClientEffect.Refused(refused.ask(), refused.reason(), refused.retryAfterNanos()));
            }
        } else if (message.body() instanceof GrantMessage.Preempted preempted) {
            ClientAsk ask = book.find(preempted.ask());
            boolean held = ask != null && ask.state() == ClientAsk.State.GRANTED;
            if (held && preempted.grant().equals(ask.grant())) {
                ask.becomes(ClientAsk.State.PREEMPTED);
                effects.add(new ClientEffect.Preempted(ask.number(), ask.grant()));
            }
        } else if (message.body() instanceof GrantMessage.Renewed renewed) {
            onRenewed(message, renewed, nowNanos, effects);
        }
    }

    private void onGranted(
            String from,
            GrantMessage.ToClient message,
            GrantMessage.Granted granted,
            long nowNanos,
            List<ClientEffect> effects) {
        ClientAsk ask = book.find(granted.ask());
        if (ask != null && granted.grant().equals(ask.grant())) {
            return;
        }
        if (ask == null || !wanted(ask, from, message, granted)) {
            link.send(from, new GrantMessage.Release(granted.ask(), granted.grant(), UNUSED), nowNanos, effects);
            giveBack(ask, granted.grant());
            return;
        }
        // The owner sent this no earlier than our stamp plus the time it had held it, so a lease counted from there
        // never ends later here than there, however long the message was under way.
        long sentNanos = message.stampNanos() + message.sinceStampNanos();
        ask.granted(granted.grant(), granted.worker(), sentNanos + granted.leaseNanos());
        effects.add(new ClientEffect.Granted(ask.number(), ask.grant(), ask.worker()));
    }

    private boolean wanted(ClientAsk ask, String from, GrantMessage.ToClient message, GrantMessage.Granted granted) {
        boolean waitsThere = ask.waits() && ask.state() != ClientAsk.State.LOCAL;
        return waitsThere && link.inTerm(from, message) && !ask.wasReturned(granted.grant());
    }

    private static void giveBack(ClientAsk ask, GrantId grant) {
        if (ask == null) {
            return;
        }
        ask.returned(grant);
        if (ask.state() == ClientAsk.State.QUEUED) {
            ask.becomes(ClientAsk.State.UNANSWERED);
        }
    }

    private void onRenewed(
            GrantMessage.ToClient message, GrantMessage.Renewed renewed, long nowNanos, List<ClientEffect> effects) {
        boolean grantsUnknown = false;
        Set<Long> unknown = new HashSet<>(renewed.unknown());
        for (Long number : unknown) {
            ClientAsk ask = book.find(number);
            if (ask != null && ask.state() == ClientAsk.State.GRANTED) {
                grantsUnknown = true;
            } else if (ask != null && ask.state() == ClientAsk.State.QUEUED) {
                link.ask(ask, nowNanos, effects);
            }
        }
        for (ClientAsk ask : book.asks().values()) {
            if (ask.state() == ClientAsk.State.GRANTED && !unknown.contains(ask.number())) {
                ask.leaseUntil(message.stampNanos() + renewed.leaseNanos());
            }
        }
        if (grantsUnknown) {
            link.register(nowNanos, effects);
        }
    }

    private void passDeadlines(long nowNanos, List<ClientEffect> effects) {
        for (ClientAsk ask : book.all()) {
            if (ask.waits() && book.find(ask.number()) == ask && ask.deadlinePassed(nowNanos)) {
                drop(ask, nowNanos, effects);
                effects.add(new ClientEffect.DeadlinePassed(ask.number()));
            }
        }
    }

    private void drop(ClientAsk ask, long nowNanos, List<ClientEffect> effects) {
        book.asks().remove(ask.number());
        if (ask.state() == ClientAsk.State.LOCAL) {
            local.withdraw(ask, nowNanos, effects);
        } else {
            link.tell(new GrantMessage.Withdraw(ask.number()), nowNanos, effects);
        }
    }
}
