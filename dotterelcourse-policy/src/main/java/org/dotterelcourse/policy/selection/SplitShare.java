package org.dotterelcourse.policy.selection;

/**
 * How much of the engines' work is interactive, as an average over the last seconds that fades by half in each half-life.
 *
 * <p>It answers a mix that changes through the day. With fixed splits, one of them is idle while the other queues.
 */
public final class SplitShare {
    /** Long enough for some dozens of requests a process, short enough to follow a burst of several seconds. */
    private static final double HALF_LIFE_NANOS = 5e9;

    /**
     * Work of one token of an answer beside that of the prompt, in milliseconds. A step of about 10 ms makes a token
     * for each of some 16 to 20 streams (data sheet).
     */
    private static final double OUTPUT_TOKEN_MILLIS = 0.6;

    /** Assumed before anything came: a quarter. */
    private static final double FIRST_SHARE = 0.25;

    private static final double FIRST_WEIGHT_MILLIS = 1_000;

    private double interactiveMillis = FIRST_SHARE * FIRST_WEIGHT_MILLIS;
    private double allMillis = FIRST_WEIGHT_MILLIS;
    private long lastNanos;

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
     * How many of the engines are for interactive requests.
     *
     * @param workers how many there are
     * @return none if there is but one; else at least one, and not all
     */
    public int interactiveWorkers(int workers) {
        if (workers < 2) {
            return 0;
        }
        double share = allMillis <= 0 ? FIRST_SHARE : interactiveMillis / allMillis;
        return (int) Math.max(1, Math.min(workers - 1, Math.round(share * workers)));
    }
}
