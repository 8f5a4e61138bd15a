package org.dotterelcourse.policy.selection;

import java.util.HashMap;
import java.util.Map;

/**
 * How much of the engines' work is interactive, as an average over the last seconds that fades by half in each half-life.
 *
 * <p>It answers a mix that changes through the day. With fixed splits, one of them is idle while the other queues.
 */
public final class SplitShare {
    /** Long enough for some dozens of requests a process, short enough to follow the hours of a day. */
    private static final double HALF_LIFE_NANOS = 10e9;

    /**
     * Work of one token of an answer beside that of the prompt, in milliseconds. A step of about 10 ms makes a token
     * for each of some 16 to 20 streams (data sheet).
     */
    private static final double OUTPUT_TOKEN_MILLIS = 0.6;

    /** How long a silent peer's work still counts. */
    private static final long KEPT_NANOS = 10_000_000_000L;

    /** Assumed before anything came: a quarter. */
    private static final double FIRST_SHARE = 0.25;

    private static final double FIRST_WEIGHT_MILLIS = 1_000;

    /** How far the work must ask for another number until it changes. */
    private static final double STEP = 1.2;

    private final Map<String, Told> peers = new HashMap<>();
    private double interactiveMillis = FIRST_SHARE * FIRST_WEIGHT_MILLIS;
    private double allMillis = FIRST_WEIGHT_MILLIS;
    private long lastNanos;
    private int lastWorkers;
    private int current;

    /**
     * Work that lately came to one process, fading.
     *
     * @param interactiveMillis that of interactive requests
     * @param allMillis that of all requests
     */
    public record Work(double interactiveMillis, double allMillis) {}

    private record Told(Work work, long atNanos) {}

    /**
     * What lately came to this process, for its peers.
     *
     * @return the work as of the last request
     */
    public Work own() {
        return new Work(interactiveMillis, allMillis);
    }

    /**
     * A peer has said what lately came to it. Processes that split by the same sums mostly agree on the split.
     *
     * @param peer its name
     * @param work its work
     * @param nowNanos the time
     */
    public void peer(String peer, Work work, long nowNanos) {
        peers.put(peer, new Told(work, nowNanos));
    }

    /**
     * A request has come.
     *
     * @param prompt its prompt
     * @param cachedTokens what of it need not be read
     * @param nowNanos the time
     */
    public void arrived(Prompt prompt, int cachedTokens, long nowNanos) {
        double fade = Math.pow(0.5, Math.max(0, nowNanos - lastNanos) / HALF_LIFE_NANOS);
        lastNanos = nowNanos;
        double work = prompt.prefillMillis(cachedTokens) + OUTPUT_TOKEN_MILLIS * prompt.outputTokens();
        allMillis = allMillis * fade + work;
        interactiveMillis = interactiveMillis * fade + (prompt.interactive() ? work : 0);
    }

    /**
     * How many of the engines are for interactive requests. The number stays until the work asks for a whole engine more
     * or less: with each change some shared parts get another home and are read again there.
     *
     * @param workers how many there are
     * @return none if there is but one; else at least one, and not all
     */
    public int interactiveWorkers(int workers) {
        if (workers < 2) {
            return 0;
        }
        double wanted = workers * share();
        if (workers != lastWorkers) {
            current = (int) Math.round(workers * (lastWorkers == 0 ? FIRST_SHARE : (double) current / lastWorkers));
            lastWorkers = workers;
        }
        if (Math.abs(wanted - current) > STEP) {
            current = (int) Math.round(wanted);
        }
        current = Math.max(1, Math.min(workers - 1, current));
        return current;
    }

    private double share() {
        double interactive = interactiveMillis;
        double all = allMillis;
        peers.values().removeIf(told -> lastNanos - told.atNanos() > KEPT_NANOS);
        for (Told told : peers.values()) {
            interactive += told.work().interactiveMillis();
            all += told.work().allMillis();
        }
        return all <= 0 ? FIRST_SHARE : interactive / all;
    }
}
