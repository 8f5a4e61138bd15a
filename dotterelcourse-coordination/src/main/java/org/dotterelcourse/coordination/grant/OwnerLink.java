package org.dotterelcourse.coordination.grant;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Sends a client's messages to the current owner, and tracks registrations and answers that are pending. */
final class OwnerLink {
    private static final long NO_PENDING_ANSWER = Long.MIN_VALUE;
    private static final long NO_TERM = 0;

    private final String cell;
    private final long life;
    private final GrantSettings settings;
    private final AskTable asks;
    private final Map<Integer, GrantMessage.Reregister> unconfirmedParts = new HashMap<>();
    private String owner = "";
    private long registeredTerm = NO_TERM;
    private long registration;
    private long registrationSentNanos;
    private long pendingAnswerSinceNanos = NO_PENDING_ANSWER;

    OwnerLink(String cell, long life, GrantSettings settings, AskTable asks) {
        this.cell = cell;
        this.life = life;
        this.settings = settings;
        this.asks = asks;
    }

    boolean isOwner(String member) {
        return !owner.isEmpty() && member.equals(owner);
    }

    /** Whether the message is from the owner's term that acknowledged the registration of this client. */
    boolean isFromRegisteredTerm(String from, GrantMessage.ToClient message) {
        return isOwner(from) && registeredTerm != NO_TERM && message.term() == registeredTerm;
    }

    void ownerChanged(String newOwner, long nowNanos, List<ClientEffect> effects) {
        owner = newOwner;
        registeredTerm = NO_TERM;
        expectAnswer(nowNanos);
        register(nowNanos, effects);
    }

    /** Handles an answer of the current owner, and registers with it if its term has no registration of this client. */
    void onAnswer(GrantMessage.ToClient message, long nowNanos, List<ClientEffect> effects) {
        pendingAnswerSinceNanos = NO_PENDING_ANSWER;
        if (message.body() instanceof GrantMessage.Registered registered) {
            onRegistered(message.term(), registered);
        } else if (message.term() != registeredTerm && unconfirmedParts.isEmpty()) {
            // The owner restarted under the same name and lost its state. Without the registration, it would treat
            // workers as free that run requests of this client.
            register(nowNanos, effects);
        }
    }

    /** Registers all grants and waiting asks with the owner. Asks are unacknowledged until it confirms them. */
    void register(long nowNanos, List<ClientEffect> effects) {
        unconfirmedParts.clear();
        for (ClientAsk ask : asks.byNumber().values()) {
            if (ask.state() == ClientAsk.State.QUEUED) {
                ask.transitionTo(ClientAsk.State.UNACKNOWLEDGED);
            }
            ask.recordSend(nowNanos);
        }
        if (owner.isEmpty()) {
            return;
        }
        registration++;
        registrationSentNanos = nowNanos;
        for (GrantMessage.Reregister part : asks.registrationMessages(registration, nowNanos)) {
            unconfirmedParts.put(part.part(), part);
            send(owner, part, nowNanos, effects);
        }
        expectAnswer(nowNanos);
    }

    void ask(ClientAsk ask, long nowNanos, List<ClientEffect> effects) {
        ask.transitionTo(ClientAsk.State.UNACKNOWLEDGED);
        ask.recordSend(nowNanos);
        sendToOwner(AskTable.askMessage(ask, nowNanos), nowNanos, effects);
        expectAnswer(nowNanos);
    }

    void renew(long nowNanos, List<ClientEffect> effects) {
        if (!owner.isEmpty()) {
            send(owner, asks.renewalMessage(), nowNanos, effects);
            expectAnswer(nowNanos);
        }
    }

    /**
     * Resends messages that were not answered in time, because they or their answers may be lost with a connection. A
     * registration is large, so it is resent less often to an owner that does not answer.
     */
    void resendOverdue(long nowNanos, List<ClientEffect> effects) {
        long registrationTimeoutNanos = isUnresponsive(nowNanos) ? settings.renewNanos() : settings.askTimeoutNanos();
        if (!unconfirmedParts.isEmpty() && nowNanos - registrationSentNanos >= registrationTimeoutNanos) {
            register(nowNanos, effects);
            return;
        }
        for (ClientAsk ask : asks.byNumber().values()) {
            boolean overdue = nowNanos - ask.lastSentNanos() >= ask.retryTimeoutNanos(settings.askTimeoutNanos());
            if (ask.state() == ClientAsk.State.UNACKNOWLEDGED && overdue) {
                ask(ask, nowNanos, effects);
            }
        }
    }

    void expectAnswer(long nowNanos) {
        if (pendingAnswerSinceNanos == NO_PENDING_ANSWER) {
            pendingAnswerSinceNanos = nowNanos;
        }
    }

    boolean isUnresponsive(long nowNanos) {
        return pendingAnswerSinceNanos != NO_PENDING_ANSWER
                && nowNanos - pendingAnswerSinceNanos >= settings.localAfterNanos();
    }

    /** Sends a message that needs no answer, if there is an owner. */
    void sendToOwner(GrantMessage.Request body, long nowNanos, List<ClientEffect> effects) {
        if (!owner.isEmpty()) {
            send(owner, body, nowNanos, effects);
        }
    }

    void send(String to, GrantMessage.Request body, long nowNanos, List<ClientEffect> effects) {
        effects.add(new ClientEffect.Send(to, new GrantMessage.ToOwner(cell, life, nowNanos, body)));
    }

    private void onRegistered(long term, GrantMessage.Registered registered) {
        if (registered.registration() != registration) {
            return;
        }
        registeredTerm = term;
        GrantMessage.Reregister part = unconfirmedParts.remove(registered.part());
        if (part == null) {
            return;
        }
        for (GrantMessage.Ask sent : part.asks()) {
            ClientAsk ask = asks.find(sent.ask());
            if (ask != null && ask.state() == ClientAsk.State.UNACKNOWLEDGED) {
                ask.markQueued();
            }
        }
    }
}
