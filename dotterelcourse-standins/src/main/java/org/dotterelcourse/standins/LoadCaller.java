package org.dotterelcourse.standins;

import java.net.ConnectException;
import java.time.Duration;
import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.buffer.Unpooled;
import io.netty.channel.ConnectTimeoutException;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.netty.ByteBufFlux;
import reactor.netty.http.client.HttpClient;
import reactor.netty.http.client.HttpClientResponse;

/** Sends one request as a caller does and finds out what became of it. */
final class LoadCaller {
    private static final int OK = 200;
    private static final Duration MINT_LIMIT = Duration.ofSeconds(3);

    private record Sent(Arrivals.Arrival arrival, long startNanos, String ticket) {}

    private final HttpClient client;
    private final AddressCache addresses;
    private final String run;

    LoadCaller(HttpClient client, AddressCache addresses, String run) {
        this.client = client;
        this.addresses = addresses;
        this.run = run;
    }

    String requestId(Arrivals.Arrival arrival) {
        return run + "-" + arrival.number();
    }

    Mono<CallOutcome> call(Arrivals.Arrival arrival, long startNanos) {
        return addresses.addresses(arrival.key()).flatMap(list -> {
            if (!arrival.requestClass().tickets()) {
                return callFirst(new Sent(arrival, startNanos, ""), list, 0);
            }
            return mint(arrival, list)
                    .flatMap(ticket -> callTwice(new Sent(arrival, startNanos, ticket), list))
                    .defaultIfEmpty(new CallOutcome.NotRun("no ticket"));
        });
    }

    /** Asks the daemons for a ticket one after the other; nothing can have run before the ticket is used. */
    private Mono<String> mint(Arrivals.Arrival arrival, List<String> list) {
        return Flux.fromIterable(list).concatMap(each -> mintAt(arrival, each)).next();
    }

    private Mono<String> mintAt(Arrivals.Arrival arrival, String address) {
        return client.headers(headers -> headers.set("Authorization", "Bearer " + arrival.key()))
                .post()
                .uri("http://" + address + "/v1/tickets")
                .responseSingle((response, body) -> body.asString())
                .timeout(MINT_LIMIT)
                .map(text -> Json.parse(text).path("ticket").asText(""))
                .onErrorReturn("")
                .filter(ticket -> !ticket.isEmpty());
    }

    /** Asks another daemon with the same ticket when the first one can't tell what became of the request. */
    private Mono<CallOutcome> callTwice(Sent sent, List<String> list) {
        return callFirst(sent, list, 0).flatMap(outcome -> {
            if (!(outcome instanceof CallOutcome.Unknown) || list.size() < 2) {
                return Mono.just(outcome);
            }
            return callFirst(sent, list, 1);
        });
    }

    /** Only a connection that was never made leads to the next address: then nothing can have been sent. */
    private Mono<CallOutcome> callFirst(Sent sent, List<String> list, int index) {
        return callOne(sent, list.get(index)).onErrorResume(error -> {
            if (!neverConnected(error)) {
                return Mono.just(new CallOutcome.Unknown(error.getClass().getSimpleName(), false));
            }
            if (index + 1 < list.size()) {
                return callFirst(sent, list, index + 1);
            }
            return Mono.just(new CallOutcome.NotRun("no daemon connects"));
        });
    }

    private static boolean neverConnected(Throwable error) {
        return error instanceof ConnectException || error instanceof ConnectTimeoutException;
    }

    private Mono<CallOutcome> callOne(Sent sent, String address) {
        Arrivals.Arrival arrival = sent.arrival;
        LoadClass requestClass = arrival.requestClass();
        HttpClient authorized =
                sent.ticket.isEmpty() ? client : client.headers(headers -> headers.set("X-Ticket", sent.ticket));
        HttpClient.RequestSender sender = authorized
                .headers(headers -> headers.set("Authorization", "Bearer " + arrival.key())
                        .set("X-Request-Class", requestClass.name())
                        .set(Replies.REQUEST_ID, requestId(arrival))
                        .set("Content-Type", "application/json"))
                .post();
        byte[] body = requestClass.plain() ? plainBody(arrival) : Json.utf8(Json.text(chatBody(arrival)));
        String path = requestClass.plain()
                ? "/v1/services/" + requestClass.service() + "/" + requestClass.path()
                : "/v1/chat/completions";
        return sender.uri("http://" + address + path)
                .send(Mono.just(Unpooled.wrappedBuffer(body)))
                .response((response, bytes) -> answer(arrival, sent.startNanos, response, bytes))
                .next();
    }

    private Flux<CallOutcome> answer(
            Arrivals.Arrival arrival, long startNanos, HttpClientResponse response, ByteBufFlux bytes) {
        LoadClass requestClass = arrival.requestClass();
        if (response.status().code() != OK) {
            return bytes.aggregate()
                    .asString()
                    .defaultIfEmpty("")
                    .map(text -> refusal(response, text))
                    .flux();
        }
        if (!requestClass.plain() && requestClass.streamed()) {
            return stream(arrival, startNanos, bytes).flux();
        }
        return bytes.aggregate()
                .asString()
                .defaultIfEmpty("")
                .map(text -> whole(arrival, startNanos, text))
                .onErrorResume(error -> Mono.just(new CallOutcome.Unknown(error.toString(), true)))
                .flux();
    }

    private static CallOutcome refusal(HttpClientResponse response, String text) {
        JsonNode problem = Json.parse(text.startsWith("{") ? text : "{}");
        String outcome = response.responseHeaders()
                .get("X-Outcome", problem.path("outcome").asText(""));
        String reason = response.status().code() + " " + problem.path("title").asText("");
        return outcome.equals("not-run") ? new CallOutcome.NotRun(reason) : new CallOutcome.Unknown(reason, false);
    }

    private Mono<CallOutcome> stream(Arrivals.Arrival arrival, long startNanos, ByteBufFlux bytes) {
        AnswerCheck check = new AnswerCheck(expected(arrival), startNanos);
        return bytes.asByteArray()
                .doOnNext(check::accept)
                .then(Mono.fromCallable(() -> judge(check, arrival, startNanos)))
                .onErrorResume(error -> Mono.just(
                        check.correct()
                                ? new CallOutcome.Unknown(error.getClass().getSimpleName(), true)
                                : new CallOutcome.Wrong("stream")));
    }

    private static CallOutcome judge(AnswerCheck check, Arrivals.Arrival arrival, long startNanos) {
        if (!check.correct()) {
            return new CallOutcome.Wrong("stream");
        }
        if (check.problem() != null) {
            JsonNode problem = Json.parse(check.problem());
            String reason = "event " + problem.path("status").asText() + " "
                    + problem.path("title").asText("");
            return problem.path("outcome").asText().equals("not-run")
                    ? new CallOutcome.NotRun(reason)
                    : new CallOutcome.Unknown(reason, false);
        }
        if (!check.whole()) {
            return new CallOutcome.Truncated();
        }
        return new CallOutcome.Answered(
                check.firstTokenNanos(), System.nanoTime() - startNanos, check.intervalNanos(), arrival.tokens());
    }

    private CallOutcome whole(Arrivals.Arrival arrival, long startNanos, String text) {
        LoadClass requestClass = arrival.requestClass();
        long nanos = System.nanoTime() - startNanos;
        if (requestClass.plain()) {
            String expected = ExpectedAnswer.service("/" + requestClass.path(), plainBody(arrival));
            return text.equals(expected) ? new CallOutcome.Answered(nanos, nanos, 0, 0) : new CallOutcome.Wrong("body");
        }
        JsonNode answer = Json.parse(text);
        String content = answer.at("/choices/0/message/content").asText();
        return content.equals(expected(arrival))
                ? new CallOutcome.Answered(nanos, nanos, 0, arrival.tokens())
                : new CallOutcome.Wrong("content");
    }

    private String expected(Arrivals.Arrival arrival) {
        return ExpectedAnswer.text(ExpectedAnswer.promptOf(prompt(arrival)), arrival.tokens());
    }

    private byte[] plainBody(Arrivals.Arrival arrival) {
        return Json.utf8("{\"call\":\"" + requestId(arrival) + "\"}");
    }

    private ObjectNode chatBody(Arrivals.Arrival arrival) {
        ObjectNode body =
                Json.object().put("stream", arrival.requestClass().streamed()).put("max_tokens", arrival.tokens());
        body.putArray("messages").addObject().put("role", "user").put("content", prompt(arrival));
        return body;
    }

    /** A part that all of the class share, then one that no other request has. */
    private String prompt(Arrivals.Arrival arrival) {
        LoadClass requestClass = arrival.requestClass();
        StringBuilder prompt = new StringBuilder();
        fill(prompt, "instructions of " + requestClass.name() + " ", requestClass.sharedCharacters());
        prompt.append(requestId(arrival))
                .append(" [[tokens=")
                .append(arrival.tokens())
                .append("]] ");
        fill(prompt, requestId(arrival) + " ", requestClass.promptCharacters());
        return prompt.toString();
    }

    private static void fill(StringBuilder text, String word, int length) {
        while (text.length() < length) {
            text.append(word);
        }
    }
}
