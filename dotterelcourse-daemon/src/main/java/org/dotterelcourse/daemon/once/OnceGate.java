package org.dotterelcourse.daemon.once;

import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import org.dotterelcourse.coordination.ticket.IdempotencyTable;
import org.dotterelcourse.coordination.ticket.TicketOutcome;
import org.dotterelcourse.coordination.ticket.TicketVerdict;
import org.dotterelcourse.daemon.dispatch.Failure;
import org.dotterelcourse.daemon.dispatch.Outcome;
import reactor.core.publisher.Mono;

/**
 * Decides whether a call that came with a ticket or an idempotency key may run now. What it lets through is told to it
 * again when it has ended, so that a repetition learns the outcome.
 */
public final class OnceGate {
    private static final int CONFLICT = 409;
    private static final int GONE = 410;
    private static final long ONE_SECOND_NANOS = TimeUnit.SECONDS.toNanos(1);

    private final Tickets tickets;

    /**
     * Makes a gate.
     *
     * @param tickets remembers what has run
     */
    public OnceGate(Tickets tickets) {
        this.tickets = tickets;
    }

    /** Whether a call may run. */
    public sealed interface Pass {}

    /**
     * It may.
     *
     * @param ended to be told once what became of it
     */
    public record Run(Consumer<Outcome> ended) implements Pass {}

    /**
     * It may not.
     *
     * @param failure what the caller is told
     */
    public record Stop(Failure failure) implements Pass {}

    /**
     * Asks.
     *
     * @param customer the call's customer
     * @param ticket the ticket's text, empty for none
     * @param key the idempotency key, empty for none; not looked at where there is a ticket
     * @param fingerprint a hash of the call
     * @return one value
     */
    public Mono<Pass> enter(String customer, String ticket, String key, long fingerprint) {
        if (!ticket.isEmpty()) {
            return tickets.spend(ticket, customer).map(this::ofTicket);
        }
        if (!key.isEmpty()) {
            return tickets.enterKey(customer, key, fingerprint).map(entering -> ofKey(entering, customer, key));
        }
        return Mono.just(new Run(outcome -> {}));
    }

    private Pass ofTicket(Tickets.Spending spending) {
        if (spending.verdict() instanceof TicketVerdict.SpendNow) {
            return new Run(outcome -> tickets.finished(spending.request(), recorded(outcome)));
        }
        return new Stop(failure(spending.verdict()));
    }

    private Pass ofKey(IdempotencyTable.Registration entering, String customer, String key) {
        if (entering instanceof IdempotencyTable.Registration.First) {
            return new Run(outcome -> tickets.keyFinished(customer, key, recorded(outcome)));
        }
        if (entering instanceof IdempotencyTable.Registration.Running) {
            return new Stop(Failure.unknown(CONFLICT, "still running", "the first call with this key still runs")
                    .retryAfter(ONE_SECOND_NANOS));
        }
        if (entering instanceof IdempotencyTable.Registration.Ended ended) {
            return new Stop(new Failure(
                    CONFLICT,
                    "repeated",
                    "the first call with this key has ended; its outcome is told here",
                    outcome(ended.outcome()),
                    0,
                    List.of()));
        }
        if (entering instanceof IdempotencyTable.Registration.KeyReused) {
            return new Stop(Failure.notRun(CONFLICT, "key in use", "this key was used for another call"));
        }
        return new Stop(Failure.notRun(Failure.TOO_MANY, "too many keys", "no more keys can be remembered now")
                .retryAfter(ONE_SECOND_NANOS));
    }

    /**
     * What a caller is told whose ticket may not be spent.
     *
     * @param verdict why not
     * @return the failure
     */
    public static Failure failure(TicketVerdict verdict) {
        if (verdict instanceof TicketVerdict.AlreadySpent spent) {
            Outcome outcome = spent.outcome().map(OnceGate::outcome).orElse(new Outcome.Unknown());
            return new Failure(CONFLICT, "ticket spent", "a call has run on this ticket", outcome, 0, List.of());
        }
        if (verdict instanceof TicketVerdict.Burned) {
            return Failure.notRun(CONFLICT, "ticket burned", "no call has run on this ticket, and none will");
        }
        if (verdict instanceof TicketVerdict.Expired) {
            return Failure.unknown(GONE, "ticket expired", "what ran on this ticket is no longer known");
        }
        if (verdict instanceof TicketVerdict.Forged) {
            return Failure.notRun(Failure.BAD_REQUEST, "no ticket", "this is not a ticket of this customer");
        }
        return Failure.unknown(
                Failure.UNAVAILABLE, "ticket not known", "the daemon that minted this ticket can't be asked any more");
    }

    private static TicketOutcome recorded(Outcome outcome) {
        TicketOutcome.Result result;
        if (outcome instanceof Outcome.Answered) {
            result = TicketOutcome.Result.ANSWERED;
        } else if (outcome instanceof Outcome.NotRun) {
            result = TicketOutcome.Result.NOT_RUN;
        } else {
            result = TicketOutcome.Result.UNKNOWN;
        }
        return new TicketOutcome(result, new byte[0]);
    }

    private static Outcome outcome(TicketOutcome recorded) {
        return switch (recorded.result()) {
            case ANSWERED -> new Outcome.Answered();
            case NOT_RUN -> new Outcome.NotRun();
            default -> new Outcome.Unknown();
        };
    }
}
