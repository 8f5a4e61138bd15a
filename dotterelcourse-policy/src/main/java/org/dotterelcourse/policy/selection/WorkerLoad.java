package org.dotterelcourse.policy.selection;

/**
 * What is known of one worker when a request is placed.
 *
 * @param id the worker's name, unique in the fleet
 * @param incarnation names one start of the worker: after another start, nothing that was known of it holds
 * @param address its IP number and port, which it mostly keeps when it starts again under another name
 * @param dataCentre where it stands
 * @param slots how many requests it runs at once
 * @param inFlight requests that this process and its peers have there and that have no whole answer yet
 * @param interactiveStreams those among them whose pauses between events must be short
 * @param prefillMillis estimated work of the prompts there that have no first event yet, in milliseconds
 * @param suspected whether it lately failed requests or connections and should be left out while others are there
 * @param sendPermission whether it takes requests of this process; one that is closed gets nothing, but keeps its place among the others, since
 *     processes may use different ones
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
        SendPermission sendPermission) {
    /**
     * Whether it may get a request.
     *
     * @return false while this process may send it nothing more
     */
    public boolean canReceive() {
        return sendPermission != SendPermission.DENIED;
    }
}
