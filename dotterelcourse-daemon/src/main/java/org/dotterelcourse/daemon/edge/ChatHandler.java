package org.dotterelcourse.daemon.edge;

import java.time.Duration;

import io.netty.buffer.Unpooled;
import org.dotterelcourse.daemon.dispatch.AnswerEvent;
import org.dotterelcourse.daemon.dispatch.ChatCall;
import org.dotterelcourse.daemon.dispatch.ChatDispatcher;
import org.dotterelcourse.daemon.metrics.RequestEndListener;
import org.dotterelcourse.daemon.metrics.RequestMetrics;
import org.dotterelcourse.daemon.metrics.RequestTracker;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Signal;
import reactor.netty.http.server.HttpServerResponse;

/** Answers chat completions, in pieces or whole. */
final class ChatHandler {
    /**
     * A tenth of the shortest idle limit that is common between two ends, a minute or more; so several are lost before
     * a connection is.
     */
    private static final Duration KEEP_ALIVE_PERIOD = Duration.ofSeconds(6);

    private final ChatDispatcher dispatcher;
    private final RequestMetrics metrics;

    ChatHandler(ChatDispatcher dispatcher, RequestMetrics metrics) {
        this.dispatcher = dispatcher;
        this.metrics = metrics;
    }

    Mono<Void> handle(ChatCall call, HttpServerResponse response, RequestEndListener ended) {
        RequestTracker watch =
                metrics.track(call.id(), call.customer(), call.requestClass(), call.arrivalNanos(), ended);
        Flux<AnswerEvent> events = watch.track(dispatcher.dispatch(call, watch));
        boolean stream = call.body().path("stream").asBoolean(false);
        return stream ? stream(call, events, response) : whole(call, events, response);
    }

    private static Mono<Void> whole(ChatCall call, Flux<AnswerEvent> events, HttpServerResponse response) {
        StringBuilder text = new StringBuilder();
        return events.doOnNext(event -> {
                    if (event instanceof AnswerEvent.Piece piece) {
                        text.append(piece.text());
                    }
                })
                .last()
                .flatMap(last -> {
                    if (last instanceof AnswerEvent.Finished finished) {
                        byte[] body = new ChatAnswers(call).whole(text.toString(), finished);
                        return Replies.answered(response, 200, "application/json", body);
                    }
                    return Replies.problem(response, ((AnswerEvent.Failed) last).failure(), call.id());
                });
    }

    /**
     * A request that fails before its first token gets a status of its own. One that has waited for a keep-alive period
     * gets its headers then, so that the connection is seen to be alive, and a later failure comes as an event.
     */
    private static Mono<Void> stream(ChatCall call, Flux<AnswerEvent> events, HttpServerResponse response) {
        ChatAnswers answers = new ChatAnswers(call);
        Flux<Part> parts = Flux.merge(events.map(event -> new Part(answers, event)), keepAlives())
                .takeUntil(Part::isLast);
        return parts.switchOnFirst((first, all) -> send(call, first, all, response))
                .then();
    }

    private static Mono<Void> send(
            ChatCall call, Signal<? extends Part> first, Flux<Part> all, HttpServerResponse response) {
        if (first.get() != null && first.get().event() instanceof AnswerEvent.Failed failed) {
            return all.then(Replies.problem(response, failed.failure(), call.id()));
        }
        response.status(200);
        response.header("Content-Type", "text/event-stream");
        response.header("Cache-Control", "no-cache");
        return response.send(all.map(part -> Unpooled.wrappedBuffer(part.bytes())), buffer -> true)
                .then();
    }

    private static Flux<Part> keepAlives() {
        return Flux.interval(KEEP_ALIVE_PERIOD).onBackpressureDrop().map(tick -> new Part(null, null));
    }

    /**
     * What is written at once.
     *
     * @param answers writes the event; null for a keep-alive
     * @param event null for a keep-alive
     */
    private record Part(ChatAnswers answers, AnswerEvent event) {
        byte[] bytes() {
            return event == null ? ChatAnswers.KEEP_ALIVE : answers.event(event);
        }

        boolean isLast() {
            return event != null && !(event instanceof AnswerEvent.Piece);
        }
    }
}
