package org.dotterelcourse.gateway.forward;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import org.reactivestreams.Subscription;
import reactor.core.publisher.BaseSubscriber;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Sinks;

import static org.assertj.core.api.Assertions.assertThat;

final class EventRelayTest {
    private final Progress progress = new Progress();
    private final Client client = new Client();

    // The relay and a simple reading of the whole text must agree, wherever the network splits the stream.
    @Property(tries = 300, seed = "11")
    void passesOnTheEventsOfASimpleReference(@ForAll long seed, @ForAll @IntRange(min = 1, max = 40) int maxPacket) {
        Random random = new Random(seed);
        String text = randomStream(random);
        Progress seen = new Progress();
        Client receiver = new Client();
        relay(Flux.fromIterable(packets(text, random, maxPacket)), seen).subscribe(receiver);

        List<String> events = referenceEvents(text);
        assertThat(receiver.text.toString()).isEqualTo(String.join("", events));
        assertThat(seen.ids)
                .isEqualTo(events.stream().map(EventRelayTest::referenceId).toList());
        String remainder = text.substring(String.join("", events).length());
        assertThat(receiver.isComplete)
                .isEqualTo(remainder.replaceAll("[\r\n]", "").isEmpty());
        assertThat(seen.isComplete).isEqualTo(receiver.isComplete);
        assertThat(seen.endCount).isEqualTo(1);
    }

    // A worker that writes byte by byte must not make the router write, or lose demand, for each byte.
    @Test
    void anEventInManyPacketsIsOneItem() {
        byte[] event = "id: 7\ndata: abc\n\n".getBytes(StandardCharsets.UTF_8);
        List<byte[]> packets = new ArrayList<>();
        for (byte each : event) {
            packets.add(new byte[] {each});
        }
        client.demand = 1;
        relay(Flux.fromIterable(packets), progress).subscribe(client);

        assertThat(client.itemCount).isEqualTo(1);
        assertThat(client.isComplete).isTrue();
        assertThat(progress.ids).containsExactly("7");
        assertThat(progress.packetCount).isEqualTo(event.length);
    }

    // Several events in a packet cost one write, but each is counted and its id is known for a resumption.
    @Test
    void eventsOfOnePacketArePassedOnTogether() {
        relay(Flux.just("id: 1\n\nid: 2\n\nid: 3\n\n".getBytes(StandardCharsets.UTF_8)), progress)
                .subscribe(client);

        assertThat(client.itemCount).isEqualTo(1);
        assertThat(progress.ids).containsExactly("1", "2", "3");
    }

    // Guards against the events of another request that follow an event that was cut.
    @Test
    void aSecondResponseAfterACutEventOfAStreamWithoutALengthIsNotPassedOn() {
        List<String> packets =
                List.of("id: 1\ndata: ow", "HTTP/1.1 200 OK\r\nServer: any\r\n\r\n", "id: 1\ndata: other\n\n");
        new EventRelay(Flux.fromIterable(packets).map(text -> text.getBytes(StandardCharsets.UTF_8)), true, progress)
                .subscribe(client);

        assertThat(client.text.toString()).isEmpty();
        assertThat(client.isComplete).isFalse();
    }

    // Guards against the events of another request that follow a stream without a length on its connection.
    @Test
    void aSecondResponseAfterAStreamWithoutALengthIsNotPassedOn() {
        List<String> packets =
                List.of("id: 1\ndata: own\n\n", "HTTP/1.1 200 OK\r\nServer: any\r\n\r\n", "id: 1\ndata: other\n\n");
        new EventRelay(Flux.fromIterable(packets).map(text -> text.getBytes(StandardCharsets.UTF_8)), true, progress)
                .subscribe(client);

        assertThat(client.text.toString()).isEqualTo("id: 1\ndata: own\n\n");
        assertThat(client.isComplete).isFalse();
    }

    // A client that disconnects between two events must end the worker's response, and the attempt exactly once.
    @Test
    void cancellationBetweenTwoEventsEndsTheAttemptOnce() {
        Sinks.Many<byte[]> worker = Sinks.many().unicast().onBackpressureBuffer();
        List<String> cancellations = new ArrayList<>();
        relay(worker.asFlux().doOnCancel(() -> cancellations.add("cancelled")), progress)
                .subscribe(client);
        worker.tryEmitNext("id: 1\n\n".getBytes(StandardCharsets.UTF_8));
        client.cancel();
        worker.tryEmitNext("id: 2\n\n".getBytes(StandardCharsets.UTF_8));
        worker.tryEmitComplete();

        assertThat(cancellations).hasSize(1);
        assertThat(progress.ids).containsExactly("1");
        assertThat(progress.isComplete).isFalse();
        assertThat(progress.endCount).isEqualTo(1);
        assertThat(client.isComplete).isFalse();
    }

    // A broken stream must not be taken for a complete one, and the attempt ends only after its error was handled.
    @Test
    void anErrorIsPassedOnBeforeTheAttemptEnds() {
        WorkerConnectionException error = new WorkerConnectionException(true, new IllegalStateException("reset"));
        relay(Flux.concat(Flux.just("id: 1\n\nda".getBytes(StandardCharsets.UTF_8)), Flux.error(error)), progress)
                .doOnError(ignored -> assertThat(progress.endCount).isZero())
                .subscribe(client);

        assertThat(client.error).isSameAs(error);
        assertThat(progress.endCount).isEqualTo(1);
    }

    private static Flux<byte[]> relay(Flux<byte[]> body, Progress progress) {
        return new EventRelay(body, false, progress);
    }

    private static String randomStream(Random random) {
        String[] pieces = {
            "id: 4", "id:5 ", "data: é", ":", "\n", "\r\n", "\n\n", "\r\n\r\n", "idle: 6", "\nid: 8\n", "x"
        };
        StringBuilder text = new StringBuilder();
        for (int i = random.nextInt(30); i > 0; i--) {
            text.append(pieces[random.nextInt(pieces.length)]);
        }
        return text.toString();
    }

    private static List<byte[]> packets(String text, Random random, int maxPacket) {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        List<byte[]> packets = new ArrayList<>();
        for (int start = 0; start < bytes.length; ) {
            int end = Math.min(bytes.length, start + random.nextInt(1, maxPacket + 1));
            packets.add(Arrays.copyOfRange(bytes, start, end));
            start = end;
        }
        return packets;
    }

    /** Splits after each empty line that follows a line with content. */
    private static List<String> referenceEvents(String text) {
        List<String> events = new ArrayList<>();
        StringBuilder event = new StringBuilder();
        boolean hasContent = false;
        for (String line : text.split("(?<=\n)")) {
            event.append(line);
            if (!line.replaceAll("[\r\n]", "").isEmpty()) {
                hasContent = true;
            } else if (hasContent && line.endsWith("\n")) {
                events.add(event.toString());
                event.setLength(0);
                hasContent = false;
            }
        }
        return events;
    }

    private static String referenceId(String event) {
        String id = "";
        for (String line : event.split("\r?\n")) {
            if (line.startsWith("id:")) {
                id = line.substring(3).trim();
            }
        }
        return id;
    }

    /** Records what the relay reports. */
    private static final class Progress implements EventRelay.Listener {
        private final List<String> ids = new ArrayList<>();
        private int packetCount;
        private boolean isComplete;
        private int endCount;

        @Override
        public void onPacket(int incompleteBytes) {
            packetCount++;
        }

        @Override
        public void onEvent(EventFramer.Event event) {
            ids.add(event.id());
        }

        @Override
        public void onCompletion() {
            isComplete = true;
        }

        @Override
        public void onEnd() {
            endCount++;
        }
    }

    /** Requests a number of items and records what it receives. */
    private static final class Client extends BaseSubscriber<byte[]> {
        private final StringBuilder text = new StringBuilder();
        private long demand = Long.MAX_VALUE;
        private int itemCount;
        private boolean isComplete;
        private Throwable error;

        @Override
        protected void hookOnSubscribe(Subscription subscription) {
            request(demand);
        }

        @Override
        protected void hookOnNext(byte[] bytes) {
            itemCount++;
            text.append(new String(bytes, StandardCharsets.UTF_8));
        }

        @Override
        protected void hookOnComplete() {
            isComplete = true;
        }

        @Override
        protected void hookOnError(Throwable failure) {
            error = failure;
        }
    }
}
