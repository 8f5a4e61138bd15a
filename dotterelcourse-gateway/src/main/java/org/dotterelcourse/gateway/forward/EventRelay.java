package org.dotterelcourse.gateway.forward;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.regex.Pattern;

import reactor.core.CoreSubscriber;
import reactor.core.publisher.Flux;
import reactor.core.publisher.FluxOperator;

/**
 * Passes on the complete events of a worker's stream. One operator in place of a chain of general ones, because a stream
 * has many events and each operator costs processor time for each of them. Must be used on the gateway's event loop only.
 */
final class EventRelay extends FluxOperator<byte[], byte[]> {
    private static final String PROTOCOL = "HTTP/";

    /** A status line whose next line is a header and no field of an event, as behind an event that was cut. */
    private static final Pattern RESPONSE_HEAD =
            Pattern.compile("HTTP/\\d\\.\\d \\d{3}[^\\r\\n]*\\r?\\n(?!data:|id:|event:|retry:)[!-9;-~]+:");

    /** A line with a field of an event, or a comment. */
    private static final Pattern FIELD = Pattern.compile("(?m)^(data|id|event|retry)?:|^data$");

    private final boolean isEndAmbiguous;
    private final Listener listener;

    /** Is notified of the progress of a stream. */
    interface Listener {
        /**
         * A packet of the worker has arrived, with any part of one or more events.
         *
         * @param incompleteBytes the bytes of the incomplete event at its end
         */
        void onPacket(int incompleteBytes);

        /** A complete event is about to be passed on. */
        void onEvent(EventFramer.Event event);

        /** The worker's response is complete. Called before the client's response ends. */
        void onCompletion();

        /** The stream has ended in any way. Called after everyone else was notified. */
        void onEnd();
    }

    /**
     * Creates a relay.
     *
     * @param body the worker's body
     * @param isEndAmbiguous whether the body also ends without an error if the worker ends, so that a stream without events
     *     is not complete
     * @param listener is notified of the progress
     */
    EventRelay(Flux<byte[]> body, boolean isEndAmbiguous, Listener listener) {
        super(body);
        this.isEndAmbiguous = isEndAmbiguous;
        this.listener = listener;
    }

    @Override
    public void subscribe(CoreSubscriber<? super byte[]> actual) {
        source.subscribe(new Relay(actual, isEndAmbiguous, listener));
    }

    /** The subscription of one client to one worker's stream. */
    private static final class Relay extends RelaySubscriber<byte[], byte[]> {
        private final Listener listener;
        private final EventFramer framer = new EventFramer();
        private final boolean isEndAmbiguous;
        private boolean lacksEvent;
        private boolean isEnded;

        private Relay(CoreSubscriber<? super byte[]> actual, boolean isEndAmbiguous, Listener listener) {
            super(actual);
            this.isEndAmbiguous = isEndAmbiguous;
            this.lacksEvent = isEndAmbiguous;
            this.listener = listener;
        }

        @Override
        public void onNext(byte[] packet) {
            if (isEnded) {
                return;
            }
            List<EventFramer.Event> events = framer.append(packet);
            listener.onPacket(framer.incompleteBytes());
            if (framer.isTooLong()) {
                fail("event exceeds the limit of " + EventFramer.MAX_EVENT_BYTES + " bytes");
                return;
            }
            List<EventFramer.Event> own = isEndAmbiguous ? beforeForeign(events) : events;
            if (!own.isEmpty()) {
                lacksEvent = false;
                own.forEach(listener::onEvent);
                actual().onNext(own.size() == 1 ? own.get(0).bytes() : join(own));
            }
            if (own.size() < events.size()) {
                fail("stream without a length is followed by something that is no event");
            } else if (own.isEmpty()) {
                upstream().request(1);
            }
        }

        @Override
        public void onError(Throwable error) {
            if (!isEnded) {
                isEnded = true;
                actual().onError(error);
                listener.onEnd();
            }
        }

        @Override
        public void onComplete() {
            if (isEnded) {
                return;
            }
            if (lacksEvent || !framer.isAtEventBoundary()) {
                String reason = lacksEvent
                        ? "stream without a length ended before its first event"
                        : "stream ended with an incomplete event";
                onError(new WorkerConnectionException(true, new IllegalStateException(reason)));
                return;
            }
            isEnded = true;
            listener.onCompletion();
            actual().onComplete();
            listener.onEnd();
        }

        @Override
        public void cancel() {
            if (!isEnded) {
                isEnded = true;
                upstream().cancel();
                listener.onEnd();
            }
        }

        private void fail(String reason) {
            if (!isEnded) {
                upstream().cancel();
            }
            onError(new WorkerConnectionException(true, new IllegalStateException(reason)));
        }

        private static List<EventFramer.Event> beforeForeign(List<EventFramer.Event> events) {
            for (int i = 0; i < events.size(); i++) {
                if (isForeign(events.get(i))) {
                    return events.subList(0, i);
                }
            }
            return events;
        }

        /** Returns whether something else than events follows a stream, which nothing separates from it without a length. */
        private static boolean isForeign(EventFramer.Event event) {
            String text = new String(event.bytes(), StandardCharsets.ISO_8859_1);
            return !FIELD.matcher(text).find()
                    || text.contains(PROTOCOL) && RESPONSE_HEAD.matcher(text).find();
        }

        /** Events that arrive together are passed on together, in one write. */
        private static byte[] join(List<EventFramer.Event> events) {
            int length = 0;
            for (EventFramer.Event event : events) {
                length += event.bytes().length;
            }
            byte[] joined = new byte[length];
            int position = 0;
            for (EventFramer.Event event : events) {
                System.arraycopy(event.bytes(), 0, joined, position, event.bytes().length);
                position += event.bytes().length;
            }
            return joined;
        }
    }
}
