package org.dotterelcourse.policy.line;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Random;

import org.dotterelcourse.policy.selection.EngineModel;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * An engine reads prompts in chunks before it goes on with answers. For twenty seconds prompts come faster than it can read
 * them. Sent on at once, all are read and all answers crawl until their clients give up, so that nearly all of the engine's
 * work is lost. With a line in front of it, those that are let through end in time.
 */
class BurstOfLongPromptsTest {
    private static final double CHUNK_TOKENS = 2_048;
    private static final double TOKENS_PER_MILLI = 50;
    private static final double STEP_MILLIS = 5;
    private static final int ANSWER_TOKENS = 380;
    private static final double TIMEOUT_MILLIS = 15_000;
    private static final double TARGET_MILLIS = 2_500;
    private static final long NANOS_PER_MILLI = 1_000_000L;

    private final EngineModel model = new EngineModel();
    private final WaitingLine<Stream> line = new WaitingLine<>();
    private final List<Stream> under = new ArrayList<>();
    private final Deque<Stream> unread = new ArrayDeque<>();
    private int ended;
    private int lost;
    private int refused;

    private static final class Stream {
        private final double arrivalMillis;
        private double tokensToRead;
        private int tokensToMake = ANSWER_TOKENS;
        private double lastTokenMillis;

        private Stream(double arrivalMillis, double tokensToRead) {
            this.arrivalMillis = arrivalMillis;
            this.tokensToRead = tokensToRead;
        }
    }

    // Before: none of 235 streams ends, and all that the engine does in 40 s is lost. After: 164 end, none is lost, and
    // 87
    // clients are told in time that there is no room.
    @Test
    void mostOfWhatTheEngineReadsEndsInTime() {
        play(false);
        assertThat(ended).isLessThan(20);
        assertThat(lost).isGreaterThan(200);
        reset();
        play(true);
        assertThat(ended).isGreaterThan(120);
        assertThat(lost).isLessThan(10);
        assertThat(refused).isLessThan(ended);
    }

    private void reset() {
        under.clear();
        unread.clear();
        ended = 0;
        lost = 0;
    }

    private void play(boolean withLine) {
        Random random = new Random(11);
        double now = 0;
        double next = 0;
        while (now < 40_000) {
            while (next <= now) {
                arrive(new Stream(next, 2_000 + random.nextInt(10_000)), withLine, now);
                next += (next < 20_000 ? 90 : 700) * (0.5 + random.nextDouble());
            }
            letThrough(now);
            now += step(now);
        }
    }

    private void arrive(Stream stream, boolean withLine, double now) {
        if (!withLine) {
            send(stream);
            return;
        }
        line.join(new Waiter<>(
                stream,
                2,
                "c",
                nanos(stream.arrivalMillis),
                nanos(stream.arrivalMillis + TARGET_MILLIS - model.leadTimeMillis()),
                nanos(stream.arrivalMillis + TIMEOUT_MILLIS / 2)));
        letThrough(now);
    }

    private void letThrough(double now) {
        refused += line.takeHopeless(nanos(now)).size();
        while (line.size() > 0 && under.size() < model.maxStreamsWithin(TIMEOUT_MILLIS / 2)) {
            Waiter<Stream> next = line.next(nanos(now)).orElseThrow();
            line.leave(next.item());
            line.placed(next.customer(), nanos(now));
            send(next.item());
        }
    }

    private void send(Stream stream) {
        under.add(stream);
        unread.add(stream);
        model.recordDispatch(stream.tokensToRead / TOKENS_PER_MILLI, ANSWER_TOKENS);
    }

    /** One step: a chunk of prompts, first come first read, and a token for each stream that was read. */
    private double step(double now) {
        double chunk = CHUNK_TOKENS;
        while (chunk > 0 && !unread.isEmpty()) {
            Stream first = unread.peek();
            double tokens = Math.min(chunk, first.tokensToRead);
            first.tokensToRead -= tokens;
            chunk -= tokens;
            if (first.tokensToRead <= 0) {
                unread.remove();
            }
        }
        double millis = STEP_MILLIS + (CHUNK_TOKENS - chunk) / TOKENS_PER_MILLI;
        for (Stream stream : List.copyOf(under)) {
            token(stream, now + millis);
        }
        return millis;
    }

    private void token(Stream stream, double now) {
        if (stream.tokensToRead <= 0) {
            stream.tokensToMake--;
            if (stream.lastTokenMillis > 0) {
                model.recordEventGap(now - stream.lastTokenMillis, 1);
            }
            stream.lastTokenMillis = now;
        }
        boolean late = now > stream.arrivalMillis + TIMEOUT_MILLIS;
        if (stream.tokensToMake == 0 || late) {
            under.remove(stream);
            unread.remove(stream);
            ended += late ? 0 : 1;
            lost += late ? 1 : 0;
            if (!late) {
                model.recordCompletion(ANSWER_TOKENS);
            }
        }
    }

    private static long nanos(double millis) {
        return (long) (millis * NANOS_PER_MILLI);
    }
}
