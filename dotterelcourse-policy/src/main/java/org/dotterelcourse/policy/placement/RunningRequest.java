package org.dotterelcourse.policy.placement;

import org.dotterelcourse.policy.cell.CellRequest;

/** A request that was granted to a worker, with its observed progress. */
public final class RunningRequest {
    private final long grant;
    private final PlacementRequest placementRequest;
    private final String worker;
    private final boolean isMinimumShareGrant;
    private final long grantedNanos;
    private boolean isLong;
    private int outputTokens;
    private int lastSampleTokens;
    private long lastSampleNanos;

    /**
     * Creates the state of a request that has just been granted.
     *
     * @param grant the grant's number, unique within its scheduler
     * @param placementRequest the request with its estimates at the time of the grant
     * @param worker the name of the worker that serves the request
     * @param isMinimumShareGrant whether it was granted to keep the minimum share of its class
     * @param nowNanos the current monotonic time in nanoseconds
     */
    public RunningRequest(
            long grant, PlacementRequest placementRequest, String worker, boolean isMinimumShareGrant, long nowNanos) {
        this.grant = grant;
        this.placementRequest = placementRequest;
        this.worker = worker;
        this.isMinimumShareGrant = isMinimumShareGrant;
        this.grantedNanos = nowNanos;
        this.isLong = placementRequest.isLong();
        this.outputTokens = placementRequest.cellRequest().resumedTokens();
        this.lastSampleNanos = -1;
    }

    /**
     * Returns the number of the grant.
     *
     * @return the number, unique within its scheduler
     */
    public long grant() {
        return grant;
    }

    /**
     * Returns the request as the cell received it.
     *
     * @return the request
     */
    public CellRequest cellRequest() {
        return placementRequest.cellRequest();
    }

    /**
     * Returns the request with its estimates at the time of the grant.
     *
     * @return the request that was placed
     */
    public PlacementRequest placementRequest() {
        return placementRequest;
    }

    /**
     * Returns the worker that serves the request.
     *
     * @return the worker's name
     */
    public String worker() {
        return worker;
    }

    /**
     * Returns whether the request was granted to keep the minimum share of its class.
     *
     * @return whether it used the minimum share
     */
    public boolean isMinimumShareGrant() {
        return isMinimumShareGrant;
    }

    /**
     * Returns the time of the grant.
     *
     * @return monotonic time in nanoseconds
     */
    public long grantedNanos() {
        return grantedNanos;
    }

    /**
     * Returns the number of output tokens so far, including those from before the request was resumed.
     *
     * @return the number of tokens
     */
    public int outputTokens() {
        return outputTokens;
    }

    /**
     * Returns whether this grant has produced any output token.
     *
     * @return whether there are more output tokens than the request was resumed from
     */
    public boolean hasOutput() {
        return outputTokens > cellRequest().resumedTokens();
    }

    boolean isLong() {
        return isLong;
    }

    void markLong() {
        isLong = true;
    }

    /**
     * Records the number of output tokens.
     *
     * @return the time per token since the last sample in nanoseconds, or -1 if too few tokens have arrived since
     */
    long recordTokens(int newOutputTokens, int tokensPerSample, long nowNanos) {
        outputTokens = Math.max(outputTokens, newOutputTokens);
        if (lastSampleNanos < 0) {
            lastSampleTokens = outputTokens;
            lastSampleNanos = nowNanos;
            return -1;
        }
        if (outputTokens - lastSampleTokens < tokensPerSample) {
            return -1;
        }
        long perTokenNanos = (nowNanos - lastSampleNanos) / (outputTokens - lastSampleTokens);
        lastSampleTokens = outputTokens;
        lastSampleNanos = nowNanos;
        return perTokenNanos;
    }
}
