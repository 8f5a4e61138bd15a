package org.dotterelcourse.policy.line;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.Random;

import org.dotterelcourse.policy.selection.EngineModel;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against losing most of an engine's work in a burst of long prompts. An engine processes prompts in chunks
 * before it continues to generate output. For twenty seconds, prompts arrive faster than it can process them. If all
 * are dispatched at once, it processes all of them and generates so slowly that clients time out, and nearly all of
 * its work is lost. With a queue in front of it, the dispatched requests complete in time.
 */
class BurstOfLongPromptsTest {
    private static final double PREFILL_CHUNK_TOKENS = 2_048;
    private static final double PREFILL_TOKENS_PER_MILLI = 50;
    private static final double STEP_MILLIS = 5;
    private static final int OUTPUT_TOKENS = 380;
    private static final double TIMEOUT_MILLIS = 15_000;
    private static final double TARGET_MILLIS = 2_500;
    private static final long NANOS_PER_MILLI = 1_000_000L;

    private final EngineModel model = new EngineModel();
    private final UpstreamQueue<Stream, Boolean> queue = new UpstreamQueue<>();
    private final List<Stream> inFlight = new ArrayList<>();
    private final Deque<Stream> pendingPrefills = new ArrayDeque<>();
    private int completed;
    private int timedOut;
    private int rejected;

    private static final class Stream {
        private final double arrivalMillis;
        private double promptTokensLeft;
        private int outputTokensLeft = OUTPUT_TOKENS;
        private double lastTokenMillis;

        private Stream(double arrivalMillis, double promptTokensLeft) {
            this.arrivalMillis = arrivalMillis;
            this.promptTokensLeft = promptTokensLeft;
        }
    }

    // Without the queue, none of 235 streams completes, and all of the engine's work in 40 s is lost. With the queue,
    // 164 complete, none times out, and 87 clients are rejected in time.
    @Test
    void mostDispatchedRequestsCompleteBeforeTheirTimeout() {
        simulate(false);
        assertThat(completed).isLessThan(20);
        assertThat(timedOut).isGreaterThan(200);
        reset();
        simulate(true);
        assertThat(completed).isGreaterThan(120);
        assertThat(timedOut).isLessThan(10);
        assertThat(rejected).isLessThan(completed);
    }

    private void reset() {
        inFlight.clear();
        pendingPrefills.clear();
        completed = 0;
        timedOut = 0;
    }

    private void simulate(boolean withQueue) {
        Random random = new Random(11);
        double nowMillis = 0;
        double nextArrivalMillis = 0;
        while (nowMillis < 40_000) {
            while (nextArrivalMillis <= nowMillis) {
                receive(new Stream(nextArrivalMillis, 2_000 + random.nextInt(10_000)), withQueue, nowMillis);
                nextArrivalMillis += (nextArrivalMillis < 20_000 ? 90 : 700) * (0.5 + random.nextDouble());
            }
            dispatchPending(nowMillis);
            nowMillis += step(nowMillis);
        }
    }

    private void receive(Stream stream, boolean withQueue, double nowMillis) {
        if (!withQueue) {
            send(stream);
            return;
        }
        PendingRequest<Stream> request = new PendingRequest<>(
                stream,
                2,
                "c",
                nanos(stream.arrivalMillis),
                nanos(stream.arrivalMillis + TARGET_MILLIS - model.leadTimeMillis()),
                nanos(stream.arrivalMillis + TIMEOUT_MILLIS / 2));
        queue.add(request, isSent -> {
            if (isSent) {
                send(stream);
            } else {
                rejected++;
            }
        });
        dispatchPending(nowMillis);
    }

    private void dispatchPending(double nowMillis) {
        queue.decideEach(request -> request.isExpired(nanos(nowMillis)) ? Optional.of(false) : Optional.empty());
        while (queue.size() > 0 && inFlight.size() < model.maxStreamsWithin(TIMEOUT_MILLIS / 2)) {
            PendingRequest<Stream> next = queue.peekNext(nanos(nowMillis)).orElseThrow();
            queue.recordDispatch(next.customer(), nanos(nowMillis));
            queue.decide(next.item(), true);
        }
    }

    private void send(Stream stream) {
        inFlight.add(stream);
        pendingPrefills.add(stream);
        model.recordDispatch(stream.promptTokensLeft / PREFILL_TOKENS_PER_MILLI, OUTPUT_TOKENS);
    }

    /**
     * Runs one engine step: a chunk of the prompts in order of arrival, and one token for each stream whose prompt
     * has been processed.
     *
     * @return the duration of the step in milliseconds
     */
    private double step(double nowMillis) {
        double chunkTokensLeft = PREFILL_CHUNK_TOKENS;
        while (chunkTokensLeft > 0 && !pendingPrefills.isEmpty()) {
            Stream first = pendingPrefills.peek();
            double tokens = Math.min(chunkTokensLeft, first.promptTokensLeft);
            first.promptTokensLeft -= tokens;
            chunkTokensLeft -= tokens;
            if (first.promptTokensLeft <= 0) {
                pendingPrefills.remove();
            }
        }
        double millis = STEP_MILLIS + (PREFILL_CHUNK_TOKENS - chunkTokensLeft) / PREFILL_TOKENS_PER_MILLI;
        for (Stream stream : List.copyOf(inFlight)) {
            generateToken(stream, nowMillis + millis);
        }
        return millis;
    }

    private void generateToken(Stream stream, double nowMillis) {
        if (stream.promptTokensLeft <= 0) {
            stream.outputTokensLeft--;
            if (stream.lastTokenMillis > 0) {
                model.recordEventGap(nowMillis - stream.lastTokenMillis, 1);
            }
            stream.lastTokenMillis = nowMillis;
        }
        boolean isLate = nowMillis > stream.arrivalMillis + TIMEOUT_MILLIS;
        if (stream.outputTokensLeft == 0 || isLate) {
            inFlight.remove(stream);
            pendingPrefills.remove(stream);
            completed += isLate ? 0 : 1;
            timedOut += isLate ? 1 : 0;
            if (!isLate) {
                model.recordCompletion(OUTPUT_TOKENS);
            }
        }
    }

    private static long nanos(double millis) {
        return (long) (millis * NANOS_PER_MILLI);
    }
}
