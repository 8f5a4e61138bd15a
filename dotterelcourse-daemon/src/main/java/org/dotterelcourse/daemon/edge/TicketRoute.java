package org.dotterelcourse.daemon.edge;

import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.ObjectMapper;
import org.dotterelcourse.coordination.ticket.TicketMinter;
import org.dotterelcourse.daemon.dispatch.Failure;
import org.dotterelcourse.daemon.once.OnceGate;
import org.dotterelcourse.daemon.once.Tickets;
import reactor.core.publisher.Mono;

/** Mints a ticket on POST, and invalidates the ticket that is given as last path segment on DELETE. */
final class TicketRoute implements Route {
    static final String PATH = "/v1/tickets";

    private static final int HTTP_CREATED = 201;

    private final CallerResolver callerResolver;
    private final Tickets tickets;
    private final RefusalHandler refusals;
    private final ObjectMapper json = new ObjectMapper();

    TicketRoute(CallerResolver callerResolver, Tickets tickets, RefusalHandler refusals) {
        this.callerResolver = callerResolver;
        this.tickets = tickets;
        this.refusals = refusals;
    }

    @Override
    public Mono<Void> handle(Exchange exchange) {
        return refusals.proceedOrRefuse(
                exchange,
                callerResolver.authenticate(exchange.headers()),
                caller -> handleAuthenticated(exchange, caller.customer().name()));
    }

    private Mono<Void> handleAuthenticated(Exchange exchange, String customer) {
        String method = exchange.request().method().name();
        String path = exchange.request().fullPath();
        if (method.equals("POST") && path.equals(PATH)) {
            return tickets.mint(customer).flatMap(mintResult -> sendMintResult(exchange, mintResult));
        }
        if (method.equals("DELETE") && path.startsWith(PATH + "/")) {
            String ticket = path.substring(PATH.length() + 1);
            return tickets.burn(ticket, customer)
                    .flatMap(burnResult -> Replies.sendProblem(
                            exchange.response(), OnceGate.failure(burnResult.verdict()), exchange.id()));
        }
        return Replies.sendProblem(
                exchange.response(),
                Failure.notRun(Failure.NOT_FOUND, "unknown path", "POST " + PATH + " or DELETE " + PATH + "/{ticket}"),
                exchange.id());
    }

    private Mono<Void> sendMintResult(Exchange exchange, TicketMinter.MintResult mintResult) {
        if (mintResult instanceof TicketMinter.MintResult.Full full) {
            Failure failure = Failure.notRun(Failure.TOO_MANY, "too many tickets", "no more can be remembered now")
                    .retryAfter(full.retryAfterNanos());
            return Replies.sendProblem(exchange.response(), failure, exchange.id());
        }
        TicketMinter.MintResult.Minted minted = (TicketMinter.MintResult.Minted) mintResult;
        String body = json.createObjectNode()
                .put("ticket", minted.token())
                .put("expiresInSeconds", TimeUnit.NANOSECONDS.toSeconds(minted.lifetimeNanos()))
                .toString();
        exchange.response().status(HTTP_CREATED);
        return Replies.sendBody(exchange.response(), "application/json", body.getBytes(StandardCharsets.UTF_8));
    }
}
