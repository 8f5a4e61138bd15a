package org.dotterelcourse.gateway.workers;

/**
 * One request at one worker, counted in the worker's load until it ends. Repeated calls of {@link #markSuspect}, {@link
 * #recordFirstEvent} and {@link #end} have no further effect.
 */
public final class Placement {
    private final WorkerState worker;
    private final boolean interactive;
    private final double prefillMillis;
    private boolean firstEventReceived;
    private boolean ended;
    private boolean suspect;

    Placement(WorkerState worker, boolean interactive, double prefillMillis, long nowNanos) {
        this.worker = worker;
        this.interactive = interactive;
        this.prefillMillis = prefillMillis;
        worker.beginRequest(interactive, prefillMillis, nowNanos);
    }

    /**
     * Returns the worker.
     *
     * @return its latest published entry
     */
    public WorkerEntry entry() {
        return worker.entry();
    }

    /** Marks the request as one under which a worker has crashed before. */
    public void markSuspect() {
        if (!suspect) {
            suspect = true;
            worker.beginSuspectRequest();
        }
    }

    /** Records the first event of the response, after which the prompt no longer counts as pending work. */
    public void recordFirstEvent() {
        if (!firstEventReceived) {
            firstEventReceived = true;
            worker.subtractPrefill(prefillMillis);
        }
    }

    /** Removes the request from the worker's load. */
    public void end() {
        if (!ended) {
            recordFirstEvent();
            ended = true;
            worker.endRequest(interactive);
            if (suspect) {
                worker.endSuspectRequest();
            }
        }
    }

    /**
     * Records that the worker has responded successfully.
     *
     * @param nowNanos current monotonic time in nanoseconds
     */
    public void recordSuccess(long nowNanos) {
        worker.localSuspicion().recordSuccess(nowNanos);
        worker.outcomes().recordSuccess(nowNanos);
    }

    /**
     * Records that no connection to the worker could be made.
     *
     * @param nowNanos current monotonic time in nanoseconds
     */
    public void recordConnectFailure(long nowNanos) {
        worker.coldStart().assumeRestarted(nowNanos);
        worker.localSuspicion().recordConnectFailure(nowNanos);
        worker.outcomes().recordFailure(nowNanos);
    }

    /**
     * Records that the worker has responded with an error of its own.
     *
     * @param nowNanos current monotonic time in nanoseconds
     */
    public void recordErrorResponse(long nowNanos) {
        worker.localSuspicion().recordErrorResponse(nowNanos);
        worker.outcomes().recordFailure(nowNanos);
    }

    /**
     * Records that the worker has rejected the request. A full worker is not a faulty one, so only this process avoids
     * it for a while; peers do not learn of the rejection.
     *
     * @param nowNanos current monotonic time in nanoseconds
     */
    public void recordRejection(long nowNanos) {
        worker.localSuspicion().recordFailure(nowNanos);
    }

    /**
     * Records that the worker has accepted the request, but broke off before the end of the response.
     *
     * @param nowNanos current monotonic time in nanoseconds
     */
    public void recordFailure(long nowNanos) {
        worker.coldStart().assumeRestarted(nowNanos);
        worker.localSuspicion().recordFailure(nowNanos);
        worker.outcomes().recordFailure(nowNanos);
    }
}
