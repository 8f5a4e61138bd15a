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
 * Admits calls with a ticket or an idempotency key so that each runs at most once. The outcome of an admitted call must be
 * reported when the call has ended; repeated calls then receive this outcome.
 */
public final class OnceGate {
    private static final int CONFLICT = 409;
    private static final int GONE = 410;
    private static final long ONE_SECOND_NANOS = TimeUnit.SECONDS.toNanos(1);

    private final Tickets tickets;

    /**
     * Creates a gate.
     *
     * @param tickets records the tickets and keys that were used
     */
    public OnceGate(Tickets tickets) {
        this.tickets = tickets;
    }

    /** Result of the admission of a call. */
    public sealed interface Admission {}

    /**
     * The call may run.
     *
     * @param ended must be called once with the outcome of the call
     */
    public record Admitted(Consumer<Outcome> ended) implements Admission {}

    /**
     * The call may not run.
     *
     * @param failure the failure to report to the caller
     */
    public record Rejected(Failure failure) implements Admission {}

    /**
     * Decides whether a call may run. A call with neither a ticket nor a key may always run.
     *
     * @param customer the name of the customer
     * @param ticket the text of the ticket, empty for none
     * @param key the idempotency key, empty for none; ignored if there is a ticket
     * @param fingerprint a hash of the call, to detect the use of a key for another call
     * @return the decision
     */
    public Mono<Admission> admit(String customer, String ticket, String key, long fingerprint) {
        if (!ticket.isEmpty()) {
            return tickets.spend(ticket, customer).map(this::admitTicket);
        }
        if (!key.isEmpty()) {
            return tickets.enterKey(customer, key, fingerprint).map(entering -> admitKey(entering, customer, key));
        }
        return Mono.just(new Admitted(outcome -> {}));
    }

    private Admission admitTicket(Tickets.Spending spending) {
        if (spending.verdict() instanceof TicketVerdict.SpendNow) {
            return new Admitted(outcome -> tickets.finished(spending.request(), toTicketOutcome(outcome)));
        }
        return new Rejected(failure(spending.verdict()));
    }

    private Admission admitKey(IdempotencyTable.Registration entering, String customer, String key) {
        if (entering instanceof IdempotencyTable.Registration.First) {
            return new Admitted(outcome -> tickets.keyFinished(customer, key, toTicketOutcome(outcome)));
        }
        if (entering instanceof IdempotencyTable.Registration.Running) {
            return new Rejected(Failure.unknown(CONFLICT, "still running", "the first call with this key still runs")
                    .retryAfter(ONE_SECOND_NANOS));
        }
        if (entering instanceof IdempotencyTable.Registration.Ended ended) {
            return new Rejected(new Failure(
                    CONFLICT,
                    "repeated",
                    "the first call with this key has ended; its outcome is told here",
                    toOutcome(ended.outcome()),
                    0,
                    List.of()));
        }
        if (entering instanceof IdempotencyTable.Registration.KeyReused) {
            return new Rejected(Failure.notRun(CONFLICT, "key in use", "this key was used for another call"));
        }
        return new Rejected(Failure.notRun(Failure.TOO_MANY, "too many keys", "no more keys can be remembered now")
                .retryAfter(ONE_SECOND_NANOS));
    }

    /**
     * Converts the verdict on a ticket that cannot be spent.
     *
     * @param verdict the verdict
     * @return the failure to report to the caller
     */
    public static Failure failure(TicketVerdict verdict) {
        if (verdict instanceof TicketVerdict.AlreadySpent spent) {
            Outcome outcome = spent.outcome().map(OnceGate::toOutcome).orElse(new Outcome.Unknown());
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

    private static TicketOutcome toTicketOutcome(Outcome outcome) {
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

    private static Outcome toOutcome(TicketOutcome recorded) {
        return switch (recorded.result()) {
            case ANSWERED -> new Outcome.Answered();
            case NOT_RUN -> new Outcome.NotRun();
            default -> new Outcome.Unknown();
        };
    }
}
