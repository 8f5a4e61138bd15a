package org.dotterelcourse.coordination.grant;

import java.util.ArrayList;
import java.util.List;

/**
 * Grants by the asker's own arbiter while no owner can be reached. The arbiter is empty outside local mode; on entry it
 * adopts the grants that are still held, so that they count against the asker's fraction of the capacity.
 */
final class LocalMode {
    private final Arbiter arbiter;
    private final long term;
    private final ClientBook book;
    private boolean active;

    LocalMode(Arbiter arbiter, long term, ClientBook book) {
        this.arbiter = arbiter;
        this.term = term;
        this.book = book;
    }

    boolean active() {
        return active;
    }

    void enter(long nowNanos, List<ClientEffect> effects) {
        active = true;
        effects.add(new ClientEffect.LocalMode(true));
        for (ClientAsk ask : book.all()) {
            if (ask.state() == ClientAsk.State.GRANTED) {
                ask.adoptedAs(arbiter.adopt(id(ask), ask.worker(), ask.arrivalNanos(), ask.terms(), nowNanos));
            }
        }
        for (ClientAsk ask : book.all()) {
            if (ask.waits()) {
                offer(ask, nowNanos, effects);
            }
        }
    }

    /** Empties the arbiter. Waiting asks come first, so that none of them is granted by what is freed. */
    void leave(long nowNanos, List<ClientEffect> effects) {
        for (ClientAsk ask : book.all()) {
            if (ask.state() == ClientAsk.State.LOCAL) {
                ask.becomes(ClientAsk.State.UNANSWERED);
                carryOut(arbiter.withdraw(id(ask), nowNanos), nowNanos, effects);
            }
        }
        for (ClientAsk ask : book.all()) {
            if (ask.adopted()) {
                long number = ask.localNumber();
                ask.disowned();
                carryOut(arbiter.expire(number, nowNanos), nowNanos, effects);
            }
        }
        active = false;
        effects.add(new ClientEffect.LocalMode(false));
    }

    void offer(ClientAsk ask, long nowNanos, List<ClientEffect> effects) {
        ask.becomes(ClientAsk.State.LOCAL);
        carryOut(arbiter.offer(id(ask), ask.arrivalNanos(), ask.terms(), nowNanos), nowNanos, effects);
    }

    void withdraw(ClientAsk ask, long nowNanos, List<ClientEffect> effects) {
        carryOut(arbiter.withdraw(id(ask), nowNanos), nowNanos, effects);
    }

    void release(ClientAsk ask, byte[] observation, long nowNanos, List<ClientEffect> effects) {
        if (ask.adopted()) {
            long number = ask.localNumber();
            ask.disowned();
            carryOut(arbiter.release(number, observation, nowNanos), nowNanos, effects);
        }
    }

    void progress(ClientAsk ask, long nowNanos, List<ClientEffect> effects) {
        if (ask.adopted()) {
            carryOut(arbiter.progress(ask.localNumber(), ask.units(), nowNanos), nowNanos, effects);
        }
    }

    void advance(long nowNanos, List<ClientEffect> effects) {
        carryOut(arbiter.advance(nowNanos), nowNanos, effects);
    }

    private void carryOut(List<Decision> decisions, long nowNanos, List<ClientEffect> effects) {
        for (Decision decision : new ArrayList<>(decisions)) {
            if (decision instanceof Decision.Granted granted) {
                grant(granted, nowNanos, effects);
            } else if (decision instanceof Decision.Refused refused) {
                ClientAsk ask = waiting(refused.askId());
                if (ask != null) {
                    book.asks().remove(ask.number());
                    effects.add(new ClientEffect.Refused(ask.number(), refused.reason(), refused.retryAfterNanos()));
                }
            } else if (decision instanceof Decision.Preempted preempted) {
                ClientAsk ask = book.find(number(preempted.askId()));
                if (ask != null && ask.state() == ClientAsk.State.GRANTED) {
                    ask.becomes(ClientAsk.State.PREEMPTED);
                    ask.disowned();
                    effects.add(new ClientEffect.Preempted(ask.number(), ask.grant()));
                }
            }
        }
    }

    private void grant(Decision.Granted granted, long nowNanos, List<ClientEffect> effects) {
        ClientAsk ask = waiting(granted.askId());
        if (ask == null) {
            carryOut(arbiter.expire(granted.grant(), nowNanos), nowNanos, effects);
            return;
        }
        ask.granted(new GrantId(term, granted.grant()), granted.worker(), ClientAsk.NO_LEASE);
        ask.adoptedAs(granted.grant());
        effects.add(new ClientEffect.Granted(ask.number(), ask.grant(), ask.worker()));
    }

    private ClientAsk waiting(String id) {
        ClientAsk ask = book.find(number(id));
        return ask != null && ask.state() == ClientAsk.State.LOCAL ? ask : null;
    }

    private static String id(ClientAsk ask) {
        return Long.toString(ask.number());
    }

    private static long number(String id) {
        return Long.parseLong(id);
    }
}
