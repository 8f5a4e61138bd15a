package org.dotterelcourse.standins;

import com.fasterxml.jackson.databind.JsonNode;
import org.HdrHistogram.Histogram;

/** Reads one streamed answer and compares it with what it must be. Used by one thread at a time. */
final class AnswerCheck {
    private static final String DATA = "data: ";
    private static final int PERCENTILE = 95;
    private static final int DIGITS = 2;

    private final String expected;
    private final SseLines lines = new SseLines(this::line);
    private final Histogram intervals = new Histogram(DIGITS);
    private final long startNanos;
    private int matched;
    private boolean wrong;
    private boolean done;
    private boolean finished;
    private boolean errorEvent;
    private String problem;
    private long firstNanos;
    private long lastNanos;
    private int chunks;

    AnswerCheck(String expected, long startNanos) {
        this.expected = expected;
        this.startNanos = startNanos;
    }

    void accept(byte[] bytes) {
        lines.accept(bytes);
    }

    /** Everything that came is what it must be, as far as it came. */
    boolean correct() {
        return !wrong && !(done && matched != expected.length());
    }

    boolean whole() {
        return done && finished && matched == expected.length();
    }

    /** The problem JSON of an error event, or null. */
    String problem() {
        return problem;
    }

    long firstTokenNanos() {
        return firstNanos - startNanos;
    }

    long intervalNanos() {
        return intervals.getTotalCount() == 0 ? 0 : intervals.getValueAtPercentile(PERCENTILE);
    }

    private void line(String raw) {
        String line = raw.endsWith("\r") ? raw.substring(0, raw.length() - 1) : raw;
        if (line.equals("event: error")) {
            errorEvent = true;
        } else if (line.startsWith(DATA)) {
            data(line.substring(DATA.length()));
        }
    }

    private void data(String data) {
        if (errorEvent) {
            problem = data;
        } else if (done) {
            wrong = true;
        } else if (data.equals("[DONE]")) {
            done = true;
        } else {
            chunk(data);
        }
    }

    private void chunk(String data) {
        JsonNode choice;
        try {
            choice = Json.parse(data).path("choices").path(0);
        } catch (IllegalArgumentException e) {
            wrong = true;
            return;
        }
        String content = choice.path("delta").path("content").asText("");
        if (!content.isEmpty()) {
            content(content);
        }
        finished |= choice.path("finish_reason").isTextual();
    }

    private void content(String content) {
        long now = System.nanoTime();
        if (chunks == 0) {
            firstNanos = now;
        } else {
            intervals.recordValue(Math.max(0, now - lastNanos));
        }
        lastNanos = now;
        chunks++;
        if (expected.startsWith(content, matched)) {
            matched += content.length();
        } else {
            wrong = true;
        }
    }
}
