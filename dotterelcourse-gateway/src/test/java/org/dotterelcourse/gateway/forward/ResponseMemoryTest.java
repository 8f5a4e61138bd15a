package org.dotterelcourse.gateway.forward;

import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;

import com.codahale.metrics.MetricRegistry;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class ResponseMemoryTest {
    private static final int CAPACITY = 1_000;
    private static final int PACKET = 10;
    private static final int MAX_BODY = 400;

    /** The stated bound. */
    private static final long MAX_HELD = CAPACITY + MAX_BODY;

    private final MetricRegistry metrics = new MetricRegistry();
    private final ResponseMemory memory = new ResponseMemory(CAPACITY, PACKET, () -> 0, metrics);

    /** A response that is read packet by packet as far as the memory lets it, and is passed on at its end. */
    private final class Response {
        private final ResponseMemory.Share share = memory.open();
        private final int length;
        private int received;
        private boolean isReady;
        private boolean isEnded;

        private Response(int length) {
            this.length = length;
            share.whenReadable(this::allow);
        }

        private void allow() {
            isReady = true;
        }

        /** Receives the next packet if it was asked for, and asks for another one; returns whether it did. */
        private boolean receive() {
            if (!isReady || isEnded) {
                return false;
            }
            isReady = false;
            received += PACKET;
            share.add(PACKET);
            if (received >= length) {
                end();
            } else {
                share.whenReadable(this::allow);
            }
            return true;
        }

        private void end() {
            isEnded = true;
            share.endReading();
            share.close();
        }
    }

    // Guards against many responses, each below its own limit, that fill the heap together.
    @Test
    void responsesTogetherHoldTheCapacityAndOneLargestResponseAtMost() {
        List<Response> responses = responses(100, MAX_BODY);
        boolean isReceiving = true;
        while (isReceiving) {
            isReceiving = false;
            for (Response response : responses) {
                isReceiving |= response.receive();
                assertThat(memory.held()).isLessThanOrEqualTo(MAX_HELD);
            }
        }
        assertThat(responses).allMatch(response -> response.isEnded);
        assertThat(memory.held()).isZero();
    }

    // Guards against a sound response that waits for responses without end.
    @Test
    void aSmallResponseIsReadWhateverOthersHold() {
        List<Response> endless = responses(20, Integer.MAX_VALUE);
        for (int i = 0; i < MAX_BODY / PACKET; i++) {
            endless.forEach(Response::receive);
        }
        Response small = new Response(3 * PACKET);
        for (int i = 0; i < 3; i++) {
            assertThat(small.receive()).isTrue();
        }
        assertThat(small.isEnded).isTrue();
    }

    // Guards against large responses that wait for each other until their deadlines.
    @Test
    void theOneThatHasWaitedLongestIsReadToItsEnd() {
        List<Response> responses = responses(50, MAX_BODY);
        for (int i = 0; i < 5; i++) {
            responses.forEach(Response::receive);
        }
        List<Response> ready =
                responses.stream().filter(response -> response.isReady).toList();
        assertThat(ready).hasSize(1);
        while (ready.get(0).receive()) {
            assertThat(memory.held()).isLessThanOrEqualTo(MAX_HELD);
        }
        assertThat(ready.get(0).isEnded).isTrue();
        assertThat(responses.stream().filter(response -> response.isReady)).isNotEmpty();
    }

    @Test
    void aBodyThatIsStillBeingSentKeepsItsBytesAndLetsNobodyExceedTheBound() {
        List<ResponseMemory.Share> sent = new ArrayList<>();
        for (int i = 0; i < 10; i++) {
            ResponseMemory.Share share = memory.open();
            boolean[] isReady = {false};
            for (int bytes = 0; bytes < MAX_BODY; bytes += PACKET) {
                isReady[0] = false;
                share.whenReadable(() -> isReady[0] = true);
                if (!isReady[0]) {
                    break;
                }
                share.add(PACKET);
            }
            share.endReading();
            sent.add(share);
        }
        assertThat(memory.held()).isBetween((long) MAX_BODY, MAX_HELD);
        sent.forEach(ResponseMemory.Share::close);
        assertThat(memory.held()).isZero();
    }

    @Test
    void whatHasEndedIsNotReadOn() {
        ResponseMemory.Share sent = memory.open();
        sent.add(CAPACITY);
        ResponseMemory.Share preferred = memory.open();
        preferred.whenReadable(() -> {});
        ResponseMemory.Share ended = memory.open();
        boolean[] isRead = {false};
        ended.whenReadable(() -> isRead[0] = true);
        ended.close();
        sent.close();
        preferred.close();
        assertThat(isRead[0]).isFalse();
        assertThat(metrics.counter("gateway.responses.waits-for-memory").getCount())
                .isEqualTo(1);
    }

    // Guards against bytes that are never released, or responses that are never read on, in any order of events.
    @Test
    void everyResponseEndsAndEverythingIsReleasedInRandomOrders() {
        for (int seed = 0; seed < 200; seed++) {
            RandomGenerator random =
                    RandomGeneratorFactory.of("L64X128MixRandom").create(seed);
            List<Response> responses = new ArrayList<>();
            for (int i = 0; i < 40; i++) {
                responses.add(new Response(PACKET * random.nextInt(1, MAX_BODY / PACKET + 1)));
            }
            for (int step = 0; step < 100_000 && responses.stream().anyMatch(each -> !each.isEnded); step++) {
                Response any = responses.get(random.nextInt(responses.size()));
                if (!any.isEnded && random.nextInt(500) == 0) {
                    any.end();
                } else {
                    any.receive();
                }
                assertThat(memory.held()).as("seed %d", seed).isBetween(0L, MAX_HELD);
            }
            assertThat(responses).as("seed %d", seed).allMatch(each -> each.isEnded);
            assertThat(memory.held()).as("seed %d", seed).isZero();
        }
    }

    private List<Response> responses(int count, int length) {
        List<Response> responses = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            responses.add(new Response(length));
        }
        return responses;
    }
}
