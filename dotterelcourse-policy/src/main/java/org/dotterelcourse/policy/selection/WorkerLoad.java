package org.dotterelcourse.policy.selection;

import org.dotterelcourse.policy.performance.WorkerPerformance;

/**
 * Snapshot of one worker's state and load, as input of a {@link WorkerSelector}.
 *
 * @param id id of the worker, unique in the fleet
 * @param incarnation identifies one start of the worker; after a restart, nothing learned about the previous incarnation
 *     applies
 * @param address IP address and port; a worker that restarts under another id usually keeps it
 * @param dataCentre data centre of the worker
 * @param slots number of requests that the worker runs concurrently
 * @param inFlight requests that this process and its peers have sent to the worker and that are not fully answered
 * @param interactiveStreams number of those requests that are streams with a target for short gaps between events
 * @param prefillMillis estimated prefill time in milliseconds of the requests there that have had no first event yet
 * @param suspected whether the worker recently failed requests or connections and should be avoided while there are
 *     workers that are not suspected
 * @param sendPermission whether this process may send the worker requests; one that is denied receives nothing but keeps
 *     its rank, since other processes may be allowed to use it
 * @param performance estimated speed of the worker
 * @param version software version of the worker; cached parts of prompts are fetched only between workers of equal versions
 */
public record WorkerLoad(
        String id,
        int incarnation,
        String address,
        String dataCentre,
        int slots,
        int inFlight,
        int interactiveStreams,
        double prefillMillis,
        boolean suspected,
        SendPermission sendPermission,
        WorkerPerformance performance,
        String version) {
    /**
     * Whether this process may send the worker a request.
     *
     * @return false while the permission is {@link SendPermission#DENIED} or {@link SendPermission#BACKING_OFF}
     */
    public boolean canReceive() {
        return sendPermission.allowsSending();
    }

    /**
     * Number of requests that the worker may have in flight. A slow engine takes longer for each prompt and answer, so that
     * fewer of them end within the same time.
     *
     * @param limit limit of an engine of nominal speed, in addition to the slots; {@link Integer#MAX_VALUE} for none
     * @return the limit for this worker
     */
    public int streamLimit(int limit) {
        return Math.min(performance.scaledLimit(limit), Math.max(1, slots));
    }

    /**
     * Whether another worker may be told to fetch cached parts of a prompt from this one. A rate limit on requests does
     * not prevent that.
     *
     * @return false while the worker is suspected or has asked this process to send it nothing
     */
    public boolean canBeFetchedFrom() {
        return !suspected && sendPermission != SendPermission.BACKING_OFF;
    }
}
