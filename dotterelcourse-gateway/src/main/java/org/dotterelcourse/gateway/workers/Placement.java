package org.dotterelcourse.gateway.workers;

/** One request at one worker, counted there until it ends. Each of the calls counts once however often it comes. */
public final class Placement {
    private final WorkerState worker;
    private final boolean interactive;
    private final double prefillMillis;
    private boolean started;
    private boolean ended;
    private boolean suspect;

    Placement(WorkerState worker, boolean interactive, double prefillMillis, long nowNanos) {
        this.worker = worker;
        this.interactive = interactive;
        this.prefillMillis = prefillMillis;
        worker.begin(interactive, prefillMillis, nowNanos);
    }

    /**
     * The worker.
     *
     * @return what is published of it
     */
    public WorkerEntry entry() {
        return worker.entry();
    }

    /** A worker crashed under this request before. */
    public void markSuspect() {
        if (!suspect) {
            suspect = true;
            worker.suspectBegan();
        }
    }

    /** The prompt has been read: the first event is here. */
    public void recordFirstEvent() {
        if (!started) {
            started = true;
            worker.prefilled(prefillMillis);
        }
    }

    /** The request is no longer there. */
    public void end() {
        if (!ended) {
            recordFirstEvent();
            ended = true;
            worker.end(interactive);
            if (suspect) {
                worker.suspectEnded();
            }
        }
    }

    /**
     * The worker has answered.
     *
     * @param nowNanos the time
     */
    public void recordSuccess(long nowNanos) {
        worker.trust().recordSuccess(nowNanos);
        worker.outcomes().recordSuccess(nowNanos);
    }

    /**
     * The worker could not be reached.
     *
     * @param nowNanos the time
     */
    public void recordConnectFailure(long nowNanos) {
        worker.coldPeriod().assumeRestarted(nowNanos);
        worker.trust().recordConnectFailure(nowNanos);
        worker.outcomes().recordFailure(nowNanos);
    }

    /**
     * The worker has answered with a failure of its own.
     *
     * @param nowNanos the time
     */
    public void recordErrorResponse(long nowNanos) {
        worker.trust().recordErrorResponse(nowNanos);
        worker.outcomes().recordFailure(nowNanos);
    }

    /**
     * The worker has refused the request. A full one is not a bad one, so that this process alone leaves it out for a
     * moment.
     *
     * @param nowNanos the time
     */
    public void recordRejection(long nowNanos) {
        worker.trust().recordFailure(nowNanos);
    }

    /**
     * The request has broken at the worker.
     *
     * @param nowNanos the time
     */
    public void recordFailure(long nowNanos) {
        worker.coldPeriod().assumeRestarted(nowNanos);
        worker.trust().recordFailure(nowNanos);
        worker.outcomes().recordFailure(nowNanos);
    }
}
