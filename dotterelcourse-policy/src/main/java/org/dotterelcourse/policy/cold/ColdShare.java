package org.dotterelcourse.policy.cold;

/**
 * How the requests that a cold worker bears are shared by the processes of a fleet.
 *
 * <p>It answers workers that come back after a crash or an outage of their data centre. An idle worker looks best to every
 * process at the same moment, and a cold one crashes under what sixty of them send it in the tenth of a second before
 * they hear of each other's requests. So only some processes may use a cold worker, as many as it bears requests in a
 * second; which ones, all processes work out alike from the fleet's members. Each of them sends it its part in any
 * second, so that nobody has to hear of anybody's requests in time. Where the fleet is cut in two and both halves take
 * the other one for dead, the worker gets twice as much at most.
 *
 * @param holders processes that may use the worker
 * @param requests what each of them may send in a window
 * @param windowNanos the window's length; it slides
 */
public record ColdShare(int holders, int requests, long windowNanos) {
    private static final long SECOND_NANOS = 1_000_000_000L;

    /**
     * Shares out what a cold worker bears.
     *
     * @param perSecond what it bears in a second, more than zero
     * @param processes processes of the fleet, at least 1
     * @return the shares; their sum over any second is not above what it bears, or one request where that is less
     */
    public static ColdShare of(double perSecond, int processes) {
        int whole = (int) Math.max(1, Math.min(Integer.MAX_VALUE, Math.floor(perSecond)));
        int holders = Math.min(whole, processes);
        long window = perSecond < 1 ? (long) (SECOND_NANOS / perSecond) : SECOND_NANOS;
        return new ColdShare(holders, whole / holders, window);
    }
}
