package org.dotterelcourse.standins;

import java.util.Arrays;
import java.util.Locale;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * A fault of a stand-in, switched at run time. A fault stays until {@link Kind#RECOVER}.
 *
 * @param kind what goes wrong
 * @param factor how many times slower it gets, for {@link Kind#SLOW}
 * @param millis after how many milliseconds it recovers by itself, 0 for never
 */
public record Fault(Kind kind, double factor, long millis) {
    /** What goes wrong. */
    public enum Kind {
        /** Everything takes {@code factor} times as long. */
        SLOW,
        /** Connections stay open and nothing is answered any more. */
        STALL,
        /** All connections are reset and new ones are refused; what ran is lost. */
        CRASH,
        /** New requests are refused with 503. */
        REFUSE,
        /** New requests are refused with 503 and {@code X-Leaving: true}; those running go on. */
        LEAVING,
        /** After each answer, a second one follows, whole or cut, at once or before the next answer. */
        REPEAT,
        /** All faults end. */
        RECOVER
    }

    /**
     * A fault that stays until it is taken back.
     *
     * @param kind what goes wrong, not {@link Kind#SLOW}
     * @return the fault
     */
    public static Fault of(Kind kind) {
        return new Fault(kind, 1.0, 0);
    }

    /**
     * A slow-down.
     *
     * @param factor how many times slower
     * @return the fault
     */
    public static Fault slow(double factor) {
        return new Fault(Kind.SLOW, factor, 0);
    }

    /**
     * The same fault for a limited time.
     *
     * @param limit how long, in milliseconds
     * @return the fault
     */
    public Fault forMillis(long limit) {
        return new Fault(kind, factor, limit);
    }

    static Fault parse(JsonNode body) {
        String name = body.path("kind").asText("").toUpperCase(Locale.ROOT);
        for (Kind each : Kind.values()) {
            if (each.name().equals(name)) {
                return new Fault(
                        each,
                        body.path("factor").asDouble(1.0),
                        body.path("millis").asLong(0));
            }
        }
        throw new IllegalArgumentException("kind is one of " + Arrays.toString(Kind.values()));
    }
}
