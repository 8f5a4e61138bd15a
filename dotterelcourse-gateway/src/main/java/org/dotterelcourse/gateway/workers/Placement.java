package org.dotterelcourse.gateway.workers;

import org.dotterelcourse.policy.performance.StreamGaps;
import org.dotterelcourse.policy.rate.SlotLedger;

/**
 * One request at one worker, counted in the worker's load until it ends. Repeated calls of {@link #markSuspect}, {@link
 * #recordFirstEvent} and {@link #end} have no further effect.
 */
public final class Placement {
    /**
     * Time of a plain call at a nominal worker with a free slot. Only ratios between the workers of an upstream are used,
     * so that the figure itself has no effect.
     */
    private static final double PLAIN_CALL_MILLIS = 50;

    /** Time from sending a prompt to its first event in addition to reading it: connecting, a step, two transfers. */
    private static final double FIRST_EVENT_MILLIS = 10;

    /** Growth of a step by each other stream, relative to a step of one stream: 0.165 of 5 ms (data sheet). */
    private static final double STEP_GROWTH_PER_STREAM = 0.033;

    private static final double NANOS_PER_MILLI = 1e6;

    private final WorkerState worker;
    private final boolean interactive;
    private final double prefillMillis;
    private final long sentNanos;
    private final double expectedMillis;
    private final boolean hadFreeSlot;
    private final StreamGaps gaps = new StreamGaps();
    private boolean firstEventReceived;
    private long lastEventNanos;
    private boolean ended;
    private boolean suspect;
    private boolean atPeer;
    private boolean asking;
    private SlotGrant slot;
    private SlotLedger.End slotEnd = SlotLedger.End.UNSEEN;

    Placement(WorkerState worker, boolean interactive, double prefillMillis, long nowNanos) {
        this.worker = worker;
        this.interactive = interactive;
        this.prefillMillis = prefillMillis;
        this.sentNanos = nowNanos;
        this.expectedMillis = prefillMillis > 0
                ? FIRST_EVENT_MILLIS + prefillMillis + worker.totalPrefillMillis()
                : PLAIN_CALL_MILLIS;
        this.hadFreeSlot = worker.totalInFlight() < worker.entry().slots();
        worker.beginRequest(interactive, prefillMillis, nowNanos);
    }

    /**
     * Creates a placement that is counted nowhere, for a request that a peer has placed and counts.
     *
     * @param entry entry of the worker to which the peer has sent the request
     * @param nowNanos current monotonic time in nanoseconds
     * @return the placement, whose records have no effect
     */
    public static Placement atPeer(WorkerEntry entry, long nowNanos) {
        Placement placement = new Placement(new WorkerState(entry, 0), false, 0, nowNanos);
        placement.atPeer = true;
        return placement;
    }

    /**
     * Returns whether a peer has sent the request to the worker.
     *
     * @return true for placements of {@link #atPeer(WorkerEntry, long)}
     */
    public boolean isAtPeer() {
        return atPeer;
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

    /**
     * Records an event of the response and the time since the previous one.
     *
     * @param tokensPerEvent number of tokens that the worker sends in one event
     * @param nowNanos current monotonic time in nanoseconds
     */
    public void recordEvent(int tokensPerEvent, long nowNanos) {
        if (lastEventNanos == 0) {
            recordFirstEvent();
            if (prefillMillis > 0) {
                recordResponseTime(nowNanos);
            }
        } else {
            gaps.recordGap((nowNanos - lastEventNanos) / NANOS_PER_MILLI, tokensPerEvent)
                    .ifPresent(sample -> recordSteps(sample, nowNanos));
        }
        lastEventNanos = nowNanos;
    }

    /**
     * Records the successful end of a stream.
     *
     * @param tokensPerEvent number of tokens that the worker sends in one event
     * @param nowNanos current monotonic time in nanoseconds
     */
    public void recordStreamEnd(int tokensPerEvent, long nowNanos) {
        gaps.end(tokensPerEvent).ifPresent(sample -> recordSteps(sample, nowNanos));
    }

    /**
     * Records the complete response to a request without a prompt. It counts for the worker's speed only if the worker had a
     * free slot, according to the load that peers have reported before the request and during it: otherwise the call may
     * have waited.
     *
     * @param nowNanos current monotonic time in nanoseconds
     */
    public void recordPlainResponse(long nowNanos) {
        int others = worker.totalInFlight() - (ended ? 0 : 1);
        if (prefillMillis == 0
                && lastEventNanos == 0
                && hadFreeSlot
                && others < worker.entry().slots()) {
            recordResponseTime(nowNanos);
        }
    }

    private void recordResponseTime(long nowNanos) {
        worker.timings().recordResponse((nowNanos - sentNanos) / NANOS_PER_MILLI, expectedMillis, nowNanos);
    }

    private void recordSteps(StreamGaps.StepSample sample, long nowNanos) {
        int otherStreams = Math.max(0, worker.totalInFlight() - 1);
        worker.timings().recordSteps(sample, 1 / (1 + STEP_GROWTH_PER_STREAM * otherStreams), nowNanos);
    }

    /** Records that a slot of the worker, which is brittle, is asked for. */
    public void beginAsking() {
        if (!asking) {
            asking = true;
            worker.beginAsking();
        }
    }

    /**
     * Sets the slot of a brittle worker that this request has. It is released at the end of the request.
     *
     * @param granted the slot
     */
    public void useSlot(SlotGrant granted) {
        slot = granted;
    }

    /** Removes a request from the worker's load that is certainly not at the worker any more. */
    public void endGone() {
        slotEnd = slotEnd == SlotLedger.End.UNSEEN ? SlotLedger.End.GONE : slotEnd;
        end();
    }

    /** Removes the request from the worker's load. */
    public void end() {
        if (!ended) {
            if (slot != null) {
                slot.release(slotEnd);
            }
            if (asking) {
                worker.endAsking();
            }
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
        recordAnswer();
        worker.coldStart().recordCompletion(sentNanos);
        worker.localSuspicion().recordSuccess(nowNanos);
        worker.outcomes().recordSuccess(nowNanos);
    }

    private void recordAnswer() {
        slotEnd = SlotLedger.End.ANSWERED;
        worker.recordAnswer();
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
        recordAnswer();
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
        slotEnd = SlotLedger.End.REJECTED;
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
