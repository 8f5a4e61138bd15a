package org.dotterelcourse.tool;

import java.util.Locale;

/** What a request was worth less for, or nothing. */
enum LossCause {
    /** Answered whole and on time. */
    NONE,
    /** Its first event, or its whole answer if it was no stream, came after the target. */
    LATE,
    /** Some pause between two events was longer than its route allows. */
    PAUSED,
    /** The router told its client to come back. */
    REFUSED,
    /** It got a failure, or its answer was cut. */
    FAILED,
    /** Its client left first. */
    LEFT;

    private static final int FIRST_UNSUCCESSFUL = 300;
    private static final int TOO_MANY_REQUESTS = 429;
    private static final int UNAVAILABLE = 503;

    /**
     * What a route promises.
     *
     * @param firstMillis the latency target: of streams until the first event, else until the answer's end
     * @param pauseMillis the longest pause between events, 0 if there is no such target
     */
    record Target(long firstMillis, long pauseMillis) {
        /** Of routes that the caller named no target for: whatever is whole is on time. */
        static final Target NONE = new Target(Long.MAX_VALUE, 0);
    }

    static LossCause of(RequestLine line, Target target) {
        if (line.reason().equals("client gone")) {
            return LEFT;
        }
        if (line.status() == UNAVAILABLE || line.status() == TOO_MANY_REQUESTS) {
            return REFUSED;
        }
        if (line.status() == 0
                || line.status() >= FIRST_UNSUCCESSFUL
                || !line.reason().isEmpty()) {
            return FAILED;
        }
        long first = line.firstEventMillis() < 0 ? line.millis() : line.firstEventMillis();
        if (first > target.firstMillis()) {
            return LATE;
        }
        return target.pauseMillis() > 0 && line.longestPauseMillis() > target.pauseMillis() ? PAUSED : NONE;
    }

    String word() {
        return name().toLowerCase(Locale.ROOT);
    }
}
