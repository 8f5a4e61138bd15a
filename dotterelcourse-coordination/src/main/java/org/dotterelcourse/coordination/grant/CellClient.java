package org.dotterelcourse.coordination.grant;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;

/**
 * Client of one cell: asks the current owner for workers, renews its grants and asks, registers them with a new owner,
 * and falls back to a local arbiter while no owner answers.
 *
 * <p>An ask is answered exactly once, by {@link ClientEffect.Granted}, {@link ClientEffect.Refused} or
 * {@link ClientEffect.DeadlinePassed}. A repeated message of its grant is ignored, and any other grant is returned unused,
 * be it late, from a former owner or for a withdrawn ask. Without this, the same request would be sent to two workers and
 * run twice under one request id. The guarantee depends only on the state of this object, not on that of any owner.
 *
 * <p>A single-threaded state machine: each method takes an event with its time in nanoseconds of a monotonic clock and
 * returns the effects.
 */
public final class CellClient {
    /** Reason code of a rejection because the client already keeps {@link GrantSettings#maxAsks} asks. */
    public static final String CLIENT_FULL = "CLIENT_FULL";

    private static final byte[] UNUSED = {};

    private final long life;
    private final GrantSettings settings;
    private final AskTable asks = new AskTable();
    private final OwnerLink ownerLink;
    private final LocalMode localMode;
    private long lastRenewNanos;
    private long lastAskNumber;

    /**
     * Creates a client without an owner.
     *
     * @param cell name of the cell
     * @param life incarnation number with which this process started; it must not change while the process runs
     * @param settings timeouts and limits, the same as those of the owner
     * @param localArbiter scheduling policy while no owner answers, with this member's fraction of the capacity; must
     *     have no requests or grants yet
     * @param random source of the random term of local grants
     */
    public CellClient(String cell, long life, GrantSettings settings, Arbiter localArbiter, RandomGenerator random) {
        this.life = life;
        this.settings = settings;
        this.ownerLink = new OwnerLink(cell, life, settings, asks);
        this.localMode = new LocalMode(localArbiter, random.nextLong(), asks);
    }

    /**
     * Asks for a worker.
     *
     * @param arrivalNanos monotonic time of the request's first arrival in nanoseconds, unchanged when it asks again
     * @param deadlineNanos monotonic time in nanoseconds after which the request must not be sent to a worker
     * @param terms opaque payload that describes the request to the arbiter
     * @param nowNanos current monotonic time in nanoseconds
     * @return number of the ask and the actions that the embedder must carry out
     */
    public ClientEffect.Asked ask(long arrivalNanos, long deadlineNanos, byte[] terms, long nowNanos) {
        List<ClientEffect> effects = new ArrayList<>();
        lastAskNumber++;
        if (asks.byNumber().size() >= settings.maxAsks()) {
            effects.add(new ClientEffect.Refused(lastAskNumber, CLIENT_FULL, settings.renewNanos()));
            return new ClientEffect.Asked(lastAskNumber, effects);
        }
        ClientAsk ask = new ClientAsk(lastAskNumber, arrivalNanos, deadlineNanos, terms);
        asks.byNumber().put(lastAskNumber, ask);
        if (localMode.isActive()) {
            localMode.offer(ask, nowNanos, effects);
        } else {
            ownerLink.ask(ask, nowNanos, effects);
        }
        return new ClientEffect.Asked(ask.number(), effects);
    }

    /**
     * Cancels a waiting ask, for instance after its caller has disconnected. Asks that were granted or have ended are
     * ignored; a grant is ended by {@link #release}.
     *
     * @param ask number of the ask
     * @param nowNanos current monotonic time in nanoseconds
     * @return actions that the embedder must carry out, in order
     */
    public List<ClientEffect> withdraw(long ask, long nowNanos) {
        List<ClientEffect> effects = new ArrayList<>();
        ClientAsk found = asks.find(ask);
        if (found != null && found.isWaiting()) {
            withdraw(found, nowNanos, effects);
        }
        return effects;
    }

    /**
     * Checks the grant of an ask and marks it as used. Must be called right before the first byte is written to the
     * worker. Without this check, a process that was paused after it received the grant would run a request whose lease
     * has expired at the owner.
     *
     * @param ask number of the ask
     * @param nowNanos current monotonic time in nanoseconds
     * @return the result; {@link GrantCheck.Usable} at most once for each ask
     */
    public GrantCheck tryUse(long ask, long nowNanos) {
        ClientAsk found = asks.find(ask);
        if (found == null || found.state() != ClientAsk.State.GRANTED || found.isUsed()) {
            return new GrantCheck.NotHeld();
        }
        if (found.isPastDeadline(nowNanos)) {
            return new GrantCheck.DeadlinePassed(release(ask, UNUSED, nowNanos));
        }
        if (found.isLeaseExpired(nowNanos)) {
            return new GrantCheck.LeaseExpired(release(ask, UNUSED, nowNanos));
        }
        found.markUsed();
        return new GrantCheck.Usable(found.worker());
    }

    /**
     * Records the progress of a granted request, which the next renewal reports to the owner.
     *
     * @param ask number of the ask
     * @param units progress so far, for instance output tokens
     * @param nowNanos current monotonic time in nanoseconds
     * @return actions that the embedder must carry out, in order
     */
    public List<ClientEffect> progress(long ask, int units, long nowNanos) {
        List<ClientEffect> effects = new ArrayList<>();
        ClientAsk found = asks.find(ask);
        if (found != null) {
            found.recordProgress(units);
            localMode.recordProgress(found, nowNanos, effects);
        }
        return effects;
    }

    /**
     * Ends a grant, used or not. Unknown and waiting asks are ignored.
     *
     * @param ask number of the ask
     * @param observation opaque payload for the arbiter; empty if the grant was not used
     * @param nowNanos current monotonic time in nanoseconds
     * @return actions that the embedder must carry out, in order
     */
    public List<ClientEffect> release(long ask, byte[] observation, long nowNanos) {
        List<ClientEffect> effects = new ArrayList<>();
        ClientAsk found = asks.find(ask);
        if (found == null || found.isWaiting()) {
            return effects;
        }
        asks.byNumber().remove(ask);
        localMode.release(found, observation, nowNanos, effects);
        ownerLink.sendToOwner(new GrantMessage.Release(ask, found.grant(), observation), nowNanos, effects);
        return effects;
    }

    /**
     * Handles a change of the owner according to the membership: another member, the same member with a new
     * incarnation, or none.
     *
     * @param newOwner member name of the owner; empty if there is none
     * @param nowNanos current monotonic time in nanoseconds
     * @return actions that the embedder must carry out, in order
     */
    public List<ClientEffect> ownerChanged(Optional<String> newOwner, long nowNanos) {
        List<ClientEffect> effects = new ArrayList<>();
        ownerLink.ownerChanged(newOwner.orElse(""), nowNanos, effects);
        return effects;
    }

    /**
     * Handles a message of an owner or a former owner.
     *
     * @param from member name of the sender
     * @param message the message
     * @param nowNanos current monotonic time in nanoseconds
     * @return actions that the embedder must carry out, in order
     */
    public List<ClientEffect> onMessage(String from, GrantMessage.ToClient message, long nowNanos) {
        List<ClientEffect> effects = new ArrayList<>();
        if (message.life() != life) {
            return effects;
        }
        boolean fromCurrentOwner = ownerLink.isOwner(from);
        if (message.body() instanceof GrantMessage.Granted granted) {
            onGranted(from, message, granted, nowNanos, effects);
        }
        if (fromCurrentOwner && message.body() instanceof GrantMessage.NotOwner) {
            ownerLink.expectAnswer(nowNanos);
        } else if (fromCurrentOwner) {
            onOwnerMessage(ownerLink.isFromRegisteredTerm(from, message), message, nowNanos, effects);
        }
        return effects;
    }

    /**
     * Handles timeouts, renewals and the start of local mode. Must be called every few tens of milliseconds.
     *
     * @param nowNanos current monotonic time in nanoseconds
     * @return actions that the embedder must carry out, in order
     */
    public List<ClientEffect> advance(long nowNanos) {
        List<ClientEffect> effects = new ArrayList<>();
        expirePastDeadline(nowNanos, effects);
        if (!localMode.isActive() && ownerLink.isUnresponsive(nowNanos)) {
            localMode.enter(nowNanos, effects);
        }
        if (localMode.isActive()) {
            localMode.advance(nowNanos, effects);
        }
        ownerLink.resendOverdue(nowNanos, effects);
        if (nowNanos - lastRenewNanos >= settings.renewNanos()) {
            lastRenewNanos = nowNanos;
            if (localMode.isActive() || !asks.byNumber().isEmpty()) {
                ownerLink.renew(nowNanos, effects);
            }
        }
        return effects;
    }

    /**
     * Whether the local arbiter grants the requests because no owner answers.
     *
     * @return true in local mode
     */
    public boolean isLocalMode() {
        return localMode.isActive();
    }

    /**
     * Number of asks that wait or have a grant.
     *
     * @return the number
     */
    public int size() {
        return asks.byNumber().size();
    }

    private void onOwnerMessage(
            boolean fromRegisteredTerm, GrantMessage.ToClient message, long nowNanos, List<ClientEffect> effects) {
        ownerLink.onAnswer(message, nowNanos, effects);
        if (localMode.isActive()) {
            localMode.leave(nowNanos, effects);
            ownerLink.register(nowNanos, effects);
        }
        if (message.body() instanceof GrantMessage.Queued queued) {
            ClientAsk ask = asks.find(queued.ask());
            if (ask != null && ask.state() == ClientAsk.State.UNACKNOWLEDGED) {
                ask.markQueued();
            }
        } else if (message.body() instanceof GrantMessage.Refused refused) {
            ClientAsk ask = asks.find(refused.ask());
            if (ask != null && ask.isWaiting() && fromRegisteredTerm) {
                asks.byNumber().remove(refused.ask());
                effects.add(new ClientEffect.Refused(refused.ask(), refused.reason(), refused.retryAfterNanos()));
            }
        } else if (message.body() instanceof GrantMessage.Preempted preempted) {
            ClientAsk ask = asks.find(preempted.ask());
            boolean held = ask != null && ask.state() == ClientAsk.State.GRANTED;
            if (held && preempted.grant().equals(ask.grant())) {
                ask.transitionTo(ClientAsk.State.PREEMPTED);
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
        ClientAsk ask = asks.find(granted.ask());
        if (ask != null && granted.grant().equals(ask.grant())) {
            return;
        }
        if (ask == null || !isAcceptable(ask, from, message, granted)) {
            ownerLink.send(from, new GrantMessage.Release(granted.ask(), granted.grant(), UNUSED), nowNanos, effects);
            recordReturnedGrant(ask, granted.grant());
            return;
        }
        // Lower bound of the sending time: the stamp plus its age at the owner. A lease counted from there never ends
        // later here than at the owner, regardless of the message's delay.
        long sentNanos = message.stampNanos() + message.sinceStampNanos();
        ask.markGranted(granted.grant(), granted.worker(), sentNanos + granted.leaseNanos());
        effects.add(new ClientEffect.Granted(ask.number(), ask.grant(), ask.worker()));
    }

    private boolean isAcceptable(
            ClientAsk ask, String from, GrantMessage.ToClient message, GrantMessage.Granted granted) {
        boolean waitsAtOwner = ask.isWaiting() && ask.state() != ClientAsk.State.LOCAL;
        return waitsAtOwner && ownerLink.isFromRegisteredTerm(from, message) && !ask.wasReturned(granted.grant());
    }

    private static void recordReturnedGrant(ClientAsk ask, GrantId grant) {
        if (ask == null) {
            return;
        }
        ask.recordReturned(grant);
        if (ask.state() == ClientAsk.State.QUEUED) {
            ask.transitionTo(ClientAsk.State.UNACKNOWLEDGED);
        }
    }

    private void onRenewed(
            GrantMessage.ToClient message, GrantMessage.Renewed renewed, long nowNanos, List<ClientEffect> effects) {
        boolean grantsUnknown = false;
        Set<Long> unknown = new HashSet<>(renewed.unknown());
        for (Long number : unknown) {
            ClientAsk ask = asks.find(number);
            if (ask != null && ask.state() == ClientAsk.State.GRANTED) {
                grantsUnknown = true;
            } else if (ask != null && ask.state() == ClientAsk.State.QUEUED) {
                ownerLink.ask(ask, nowNanos, effects);
            }
        }
        for (ClientAsk ask : asks.byNumber().values()) {
            if (ask.state() == ClientAsk.State.GRANTED && !unknown.contains(ask.number())) {
                ask.extendLease(message.stampNanos() + renewed.leaseNanos());
            }
        }
        if (grantsUnknown) {
            ownerLink.register(nowNanos, effects);
        }
    }

    private void expirePastDeadline(long nowNanos, List<ClientEffect> effects) {
        for (ClientAsk ask : asks.snapshot()) {
            if (ask.isWaiting() && asks.find(ask.number()) == ask && ask.isPastDeadline(nowNanos)) {
                withdraw(ask, nowNanos, effects);
                effects.add(new ClientEffect.DeadlinePassed(ask.number()));
            }
        }
    }

    private void withdraw(ClientAsk ask, long nowNanos, List<ClientEffect> effects) {
        asks.byNumber().remove(ask.number());
        if (ask.state() == ClientAsk.State.LOCAL) {
            localMode.withdraw(ask, nowNanos, effects);
        } else {
            ownerLink.sendToOwner(new GrantMessage.Withdraw(ask.number()), nowNanos, effects);
        }
    }
}
