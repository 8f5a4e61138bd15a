package org.dotterelcourse.daemon.edge;

import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.ObjectMapper;
import org.dotterelcourse.coordination.ticket.TicketMinter;
import org.dotterelcourse.daemon.dispatch.Failure;
import org.dotterelcourse.daemon.once.OnceGate;
import org.dotterelcourse.daemon.once.Tickets;
import reactor.core.publisher.Mono;

/** Mints tickets by POST, and burns the one whose text follows the path by DELETE. */
final class TicketRoute implements Route {
    static final String PATH = "/v1/tickets";

    private static final int CREATED = 201;

    private final CallerCheck check;
    private final Tickets tickets;
    private final Refuser refuser;
    private final ObjectMapper json = new ObjectMapper();

    TicketRoute(CallerCheck check, Tickets tickets, Refuser refuser) {
        this.check = check;
        this.tickets = tickets;
        this.refuser = refuser;
    }

    @Override
    public Mono<Void> handle(Exchange exchange) {
        return refuser.orRefuse(
                exchange,
                check.caller(exchange.headers()),
                caller -> handle(exchange, caller.customer().name()));
    }

    private Mono<Void> handle(Exchange exchange, String customer) {
        String method = exchange.request().method().name();
        String path = exchange.request().fullPath();
        if (method.equals("POST") && path.equals(PATH)) {
            return tickets.mint(customer).flatMap(minting -> minted(exchange, minting));
        }
        if (method.equals("DELETE") && path.startsWith(PATH + "/")) {
            String ticket = path.substring(PATH.length() + 1);
            return tickets.burn(ticket, customer)
                    .flatMap(burning ->
                            Replies.problem(exchange.response(), OnceGate.failure(burning.verdict()), exchange.id()));
        }
        return Replies.problem(
                exchange.response(),
                Failure.notRun(Failure.NOT_FOUND, "unknown path", "POST " + PATH + " or DELETE " + PATH + "/{ticket}"),
                exchange.id());
    }

    private Mono<Void> minted(Exchange exchange, TicketMinter.MintResult minting) {
        if (minting instanceof TicketMinter.MintResult.Full full) {
            Failure failure = Failure.notRun(Failure.TOO_MANY, "too many tickets", "no more can be remembered now")
                    .retryAfter(full.retryAfterNanos());
            return Replies.problem(exchange.response(), failure, exchange.id());
        }
        TicketMinter.MintResult.Minted minted = (TicketMinter.MintResult.Minted) minting;
        String body = json.createObjectNode()
                .put("ticket", minted.token())
                .put("expiresInSeconds", TimeUnit.NANOSECONDS.toSeconds(minted.lifetimeNanos()))
                .toString();
        exchange.response().status(CREATED);
        return Replies.bytes(exchange.response(), "application/json", body.getBytes(StandardCharsets.UTF_8));
    }
}
