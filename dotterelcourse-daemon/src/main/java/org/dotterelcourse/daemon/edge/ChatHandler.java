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

/** Dispatches admitted chat completions and sends their answers, streamed or as one JSON object. */
final class ChatHandler {
    /**
     * A tenth of one minute, the shortest common idle timeout of proxies, so that a connection survives the loss of
     * several keep-alives.
     */
    private static final Duration KEEP_ALIVE_PERIOD = Duration.ofSeconds(6);

    private final ChatDispatcher dispatcher;
    private final RequestMetrics metrics;

    ChatHandler(ChatDispatcher dispatcher, RequestMetrics metrics) {
        this.dispatcher = dispatcher;
        this.metrics = metrics;
    }

    /**
     * Dispatches a request and sends its answer.
     *
     * @param call the admitted request
     * @param response the response to send
     * @param endListener notified when the request has ended
     * @return completes when the response has been sent
     */
    Mono<Void> handle(ChatCall call, HttpServerResponse response, RequestEndListener endListener) {
        RequestTracker tracker =
                metrics.track(call.id(), call.customer(), call.requestClass(), call.arrivalNanos(), endListener);
        Flux<AnswerEvent> events = tracker.track(dispatcher.dispatch(call, tracker));
        boolean streamed = call.body().path("stream").asBoolean(false);
        return streamed ? sendStream(call, events, response) : sendWhole(call, events, response);
    }

    private static Mono<Void> sendWhole(ChatCall call, Flux<AnswerEvent> events, HttpServerResponse response) {
        StringBuilder text = new StringBuilder();
        return events.doOnNext(event -> {
                    if (event instanceof AnswerEvent.Piece piece) {
                        text.append(piece.text());
                    }
                })
                .last()
                .flatMap(last -> {
                    if (last instanceof AnswerEvent.Finished finished) {
                        byte[] body = new ChatResponseEncoder(call).encodeWhole(text.toString(), finished);
                        return Replies.sendAnswer(response, 200, "application/json", body);
                    }
                    return Replies.sendProblem(response, ((AnswerEvent.Failed) last).failure(), call.id());
                });
    }

    /**
     * Streams an answer. A request that fails before the first token or keep-alive gets an HTTP error status. After one
     * keep-alive period without a token, the response headers and a keep-alive are sent to show that the connection is
     * alive; a later failure is then sent as an event.
     */
    private static Mono<Void> sendStream(ChatCall call, Flux<AnswerEvent> events, HttpServerResponse response) {
        ChatResponseEncoder encoder = new ChatResponseEncoder(call);
        Flux<Part> parts = Flux.merge(events.map(event -> new Part(encoder, event)), keepAliveParts())
                .takeUntil(Part::isLast);
        return parts.switchOnFirst((first, allParts) -> sendParts(call, first, allParts, response))
                .then();
    }

    private static Mono<Void> sendParts(
            ChatCall call, Signal<? extends Part> first, Flux<Part> parts, HttpServerResponse response) {
        if (first.get() != null && first.get().event() instanceof AnswerEvent.Failed failed) {
            return parts.then(Replies.sendProblem(response, failed.failure(), call.id()));
        }
        response.status(200);
        response.header("Content-Type", "text/event-stream");
        response.header("Cache-Control", "no-cache");
        return response.send(parts.map(part -> Unpooled.wrappedBuffer(part.bytes())), buffer -> true)
                .then();
    }

    private static Flux<Part> keepAliveParts() {
        return Flux.interval(KEEP_ALIVE_PERIOD).onBackpressureDrop().map(tick -> new Part(null, null));
    }

    /**
     * An event or a keep-alive, written to the response as one buffer.
     *
     * @param encoder encodes the event; null for a keep-alive
     * @param event the event to send; null for a keep-alive
     */
    private record Part(ChatResponseEncoder encoder, AnswerEvent event) {
        byte[] bytes() {
            return event == null ? ChatResponseEncoder.KEEP_ALIVE : encoder.encodeEvent(event);
        }

        boolean isLast() {
            return event != null && !(event instanceof AnswerEvent.Piece);
        }
    }
}
