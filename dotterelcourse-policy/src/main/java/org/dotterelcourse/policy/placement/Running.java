package org.dotterelcourse.policy.placement;

import org.dotterelcourse.policy.cell.CellRequest;

/** A granted request and what has been seen of it. */
public final class Running {
    private final long grant;
    private final Candidate candidate;
    private final String worker;
    private final boolean owed;
    private final long sinceNanos;
    private boolean isLong;
    private int tokens;
    private int sampledTokens;
    private long sampledNanos;

    /**
     * Makes a request that has just been granted.
     *
     * @param grant the grant's number
     * @param candidate the request
     * @param worker the worker's name
     * @param owed whether it was served because of its class's minimum share
     * @param nowNanos the time
     */
    public Running(long grant, Candidate candidate, String worker, boolean owed, long nowNanos) {
        this.grant = grant;
        this.candidate = candidate;
        this.worker = worker;
        this.owed = owed;
        this.sinceNanos = nowNanos;
        this.isLong = candidate.isLong();
        this.tokens = candidate.ask().resumedTokens();
        this.sampledNanos = -1;
    }

    /**
     * The grant's number.
     *
     * @return the number
     */
    public long grant() {
        return grant;
    }

    /**
     * The request.
     *
     * @return the ask
     */
    public CellRequest ask() {
        return candidate.ask();
    }

    /**
     * The request as it looked for a worker.
     *
     * @return the candidate
     */
    public Candidate candidate() {
        return candidate;
    }

    /**
     * The worker that has it.
     *
     * @return the worker's name
     */
    public String worker() {
        return worker;
    }

    /**
     * Whether it was served because of its class's minimum share.
     *
     * @return whether it was
     */
    public boolean owed() {
        return owed;
    }

    /**
     * When it was granted.
     *
     * @return nanoseconds
     */
    public long sinceNanos() {
        return sinceNanos;
    }

    /**
     * Tokens of the answer so far, with those that it was resumed from.
     *
     * @return the number
     */
    public int tokens() {
        return tokens;
    }

    /**
     * Whether any token has come from this grant.
     *
     * @return whether one has
     */
    public boolean started() {
        return tokens > ask().resumedTokens();
    }

    boolean isLong() {
        return isLong;
    }

    void becomeLong() {
        isLong = true;
    }

    /** Notes tokens; returns the time per token since the last sample, or -1 if it is too early for one. */
    long progress(int newTokens, int tokensPerSample, long nowNanos) {
        tokens = Math.max(tokens, newTokens);
        if (sampledNanos < 0) {
            sampledTokens = tokens;
            sampledNanos = nowNanos;
            return -1;
        }
        if (tokens - sampledTokens < tokensPerSample) {
            return -1;
        }
        long perToken = (nowNanos - sampledNanos) / (tokens - sampledTokens);
        sampledTokens = tokens;
        sampledNanos = nowNanos;
        return perToken;
    }
}
