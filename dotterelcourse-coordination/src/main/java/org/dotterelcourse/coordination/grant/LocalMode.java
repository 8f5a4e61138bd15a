package org.dotterelcourse.coordination.grant;

import java.util.ArrayList;
import java.util.List;

/**
 * Grants requests by the client's own arbiter while no owner answers. The arbiter is empty outside local mode. On entry
 * it adopts the grants that the client still holds, so that they count against the client's fraction of the capacity.
 */
final class LocalMode {
    private final Arbiter arbiter;
    private final long term;
    private final AskTable asks;
    private boolean active;

    LocalMode(Arbiter arbiter, long term, AskTable asks) {
        this.arbiter = arbiter;
        this.term = term;
        this.asks = asks;
    }

    boolean isActive() {
        return active;
    }

    void enter(long nowNanos, List<ClientEffect> effects) {
        active = true;
        effects.add(new ClientEffect.LocalMode(true));
        for (ClientAsk ask : asks.snapshot()) {
            if (ask.state() == ClientAsk.State.GRANTED) {
                ask.markAdopted(arbiter.adopt(askId(ask), ask.worker(), ask.arrivalNanos(), ask.terms(), nowNanos));
            }
        }
        for (ClientAsk ask : asks.snapshot()) {
            if (ask.isWaiting()) {
                offer(ask, nowNanos, effects);
            }
        }
    }

    /** Empties the arbiter. Waiting asks are withdrawn first, so that ending the grants does not grant any of them. */
    void leave(long nowNanos, List<ClientEffect> effects) {
        for (ClientAsk ask : asks.snapshot()) {
            if (ask.state() == ClientAsk.State.LOCAL) {
                ask.transitionTo(ClientAsk.State.UNACKNOWLEDGED);
                apply(arbiter.withdraw(askId(ask), nowNanos), nowNanos, effects);
            }
        }
        for (ClientAsk ask : asks.snapshot()) {
            if (ask.isAdopted()) {
                long localGrant = ask.localGrant();
                ask.clearAdopted();
                apply(arbiter.expire(localGrant, nowNanos), nowNanos, effects);
            }
        }
        active = false;
        effects.add(new ClientEffect.LocalMode(false));
    }

    void offer(ClientAsk ask, long nowNanos, List<ClientEffect> effects) {
        ask.transitionTo(ClientAsk.State.LOCAL);
        apply(arbiter.offer(askId(ask), ask.arrivalNanos(), ask.terms(), nowNanos), nowNanos, effects);
    }

    void withdraw(ClientAsk ask, long nowNanos, List<ClientEffect> effects) {
        apply(arbiter.withdraw(askId(ask), nowNanos), nowNanos, effects);
    }

    void release(ClientAsk ask, byte[] observation, long nowNanos, List<ClientEffect> effects) {
        if (ask.isAdopted()) {
            long localGrant = ask.localGrant();
            ask.clearAdopted();
            apply(arbiter.release(localGrant, observation, nowNanos), nowNanos, effects);
        }
    }

    void recordProgress(ClientAsk ask, long nowNanos, List<ClientEffect> effects) {
        if (ask.isAdopted()) {
            apply(arbiter.progress(ask.localGrant(), ask.units(), nowNanos), nowNanos, effects);
        }
    }

    void advance(long nowNanos, List<ClientEffect> effects) {
        apply(arbiter.advance(nowNanos), nowNanos, effects);
    }

    private void apply(List<Decision> decisions, long nowNanos, List<ClientEffect> effects) {
        for (Decision decision : new ArrayList<>(decisions)) {
            if (decision instanceof Decision.Granted granted) {
                grant(granted, nowNanos, effects);
            } else if (decision instanceof Decision.Refused refused) {
                ClientAsk ask = findWaiting(refused.askId());
                if (ask != null) {
                    asks.byNumber().remove(ask.number());
                    effects.add(new ClientEffect.Refused(ask.number(), refused.reason(), refused.retryAfterNanos()));
                }
            } else if (decision instanceof Decision.Preempted preempted) {
                ClientAsk ask = asks.find(askNumber(preempted.askId()));
                if (ask != null && ask.state() == ClientAsk.State.GRANTED) {
                    ask.transitionTo(ClientAsk.State.PREEMPTED);
                    ask.clearAdopted();
                    effects.add(new ClientEffect.Preempted(ask.number(), ask.grant()));
                }
            }
        }
    }

    private void grant(Decision.Granted granted, long nowNanos, List<ClientEffect> effects) {
        ClientAsk ask = findWaiting(granted.askId());
        if (ask == null) {
            apply(arbiter.expire(granted.grant(), nowNanos), nowNanos, effects);
            return;
        }
        ask.markGranted(new GrantId(term, granted.grant()), granted.worker(), ClientAsk.NO_LEASE);
        ask.markAdopted(granted.grant());
        effects.add(new ClientEffect.Granted(ask.number(), ask.grant(), ask.worker()));
    }

    private ClientAsk findWaiting(String askId) {
        ClientAsk ask = asks.find(askNumber(askId));
        return ask != null && ask.state() == ClientAsk.State.LOCAL ? ask : null;
    }

    private static String askId(ClientAsk ask) {
        return Long.toString(ask.number());
    }

    private static long askNumber(String askId) {
        return Long.parseLong(askId);
    }
}
