package org.dotterelcourse.coordination.grant;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** What a client has told the current owner, and what of that is still unanswered. */
final class OwnerLink {
    private static final long NOTHING_UNANSWERED = Long.MIN_VALUE;
    private static final long NO_TERM = 0;

    private final String cell;
    private final long life;
    private final GrantSettings settings;
    private final ClientBook book;
    private final Map<Integer, GrantMessage.Reregister> unconfirmed = new HashMap<>();
    private String owner = "";
    private long registeredTerm = NO_TERM;
    private long registration;
    private long registrationSentNanos;
    private long unansweredSinceNanos = NOTHING_UNANSWERED;

    OwnerLink(String cell, long life, GrantSettings settings, ClientBook book) {
        this.cell = cell;
        this.life = life;
        this.settings = settings;
        this.book = book;
    }

    boolean isOwner(String member) {
        return !owner.isEmpty() && member.equals(owner);
    }

    /** Whether the message is from the term that has confirmed our registration. */
    boolean inTerm(String from, GrantMessage.ToClient message) {
        return isOwner(from) && registeredTerm != NO_TERM && message.term() == registeredTerm;
    }

    void ownerChanged(String newOwner, long nowNanos, List<ClientEffect> effects) {
        owner = newOwner;
        registeredTerm = NO_TERM;
        expectAnswer(nowNanos);
        register(nowNanos, effects);
    }

    /** Notes an answer from the current owner, and registers with it if it doesn't know us. */
    void answered(GrantMessage.ToClient message, long nowNanos, List<ClientEffect> effects) {
        unansweredSinceNanos = NOTHING_UNANSWERED;
        if (message.body() instanceof GrantMessage.Registered registered) {
            confirmed(message.term(), registered);
        } else if (message.term() != registeredTerm && unconfirmed.isEmpty()) {
            // The owner restarted under the same name and knows nothing of us; without this, its workers would look
            // free to it while our requests run there.
            register(nowNanos, effects);
        }
    }

    /** Tells the owner everything. Asks count as unanswered until it has confirmed them. */
    void register(long nowNanos, List<ClientEffect> effects) {
        unconfirmed.clear();
        for (ClientAsk ask : book.asks().values()) {
            if (ask.state() == ClientAsk.State.QUEUED) {
                ask.becomes(ClientAsk.State.UNANSWERED);
            }
            ask.sentAt(nowNanos);
        }
        if (owner.isEmpty()) {
            return;
        }
        registration++;
        registrationSentNanos = nowNanos;
        for (GrantMessage.Reregister part : book.registration(registration, nowNanos)) {
            unconfirmed.put(part.part(), part);
            send(owner, part, nowNanos, effects);
        }
        expectAnswer(nowNanos);
    }

    void ask(ClientAsk ask, long nowNanos, List<ClientEffect> effects) {
        ask.becomes(ClientAsk.State.UNANSWERED);
        ask.sentAt(nowNanos);
        tell(ClientBook.ask(ask, nowNanos), nowNanos, effects);
        expectAnswer(nowNanos);
    }

    void renew(long nowNanos, List<ClientEffect> effects) {
        if (!owner.isEmpty()) {
            send(owner, book.renewal(), nowNanos, effects);
            expectAnswer(nowNanos);
        }
    }

    /**
     * Sends again what was not answered in time: the message or its answer may be lost with a connection. A whole
     * registration is large, so an owner that is silent gets it less often.
     */
    void repeat(long nowNanos, List<ClientEffect> effects) {
        long registrationTimeout = silent(nowNanos) ? settings.renewNanos() : settings.askTimeoutNanos();
        if (!unconfirmed.isEmpty() && nowNanos - registrationSentNanos >= registrationTimeout) {
            register(nowNanos, effects);
            return;
        }
        for (ClientAsk ask : book.asks().values()) {
            boolean late = nowNanos - ask.lastSentNanos() >= ask.timeoutNanos(settings.askTimeoutNanos());
            if (ask.state() == ClientAsk.State.UNANSWERED && late) {
                ask(ask, nowNanos, effects);
            }
        }
    }

    void expectAnswer(long nowNanos) {
        if (unansweredSinceNanos == NOTHING_UNANSWERED) {
            unansweredSinceNanos = nowNanos;
        }
    }

    boolean silent(long nowNanos) {
        return unansweredSinceNanos != NOTHING_UNANSWERED
                && nowNanos - unansweredSinceNanos >= settings.localAfterNanos();
    }

    /** Tells the current owner, if there is one, something that needs no answer. */
    void tell(GrantMessage.Request body, long nowNanos, List<ClientEffect> effects) {
        if (!owner.isEmpty()) {
            send(owner, body, nowNanos, effects);
        }
    }

    void send(String to, GrantMessage.Request body, long nowNanos, List<ClientEffect> effects) {
        effects.add(new ClientEffect.Send(to, new GrantMessage.ToOwner(cell, life, nowNanos, body)));
    }

    private void confirmed(long term, GrantMessage.Registered registered) {
        if (registered.registration() != registration) {
            return;
        }
        registeredTerm = term;
        GrantMessage.Reregister part = unconfirmed.remove(registered.part());
        if (part == null) {
            return;
        }
        for (GrantMessage.Ask sent : part.asks()) {
            ClientAsk ask = book.find(sent.ask());
            if (ask != null && ask.state() == ClientAsk.State.UNANSWERED) {
                ask.queued();
            }
        }
    }
}
