package org.dotterelcourse.policy.rate;

/**
 * How the requests that a worker bears in a second are shared by the processes of a fleet.
 *
 * <p>It answers workers that take only a few: a cold one crashes under what sixty processes send it in the tenth of a
 * second before they hear of each other's requests. So only some processes may use such a worker; which ones, all
 * processes work out alike from the fleet's members. Each of them sends it its part in any window, so that nobody has to
 * hear of anybody's requests in time. Where the fleet is cut in two and both halves take the other one for dead, the
 * worker gets twice as much at most.
 *
 * @param holders processes that may use the worker
 * @param requests what each of them may send in a window
 * @param windowNanos the window's length; it slides
 */
public record RateShare(int holders, int requests, long windowNanos) {
    private static final long SECOND_NANOS = 1_000_000_000L;

    /**
     * Shares out what a worker bears in any second.
     *
     * @param perSecond what it bears in a second, more than zero
     * @param processes processes of the fleet, at least 1
     * @return the shares; their sum over any second is not above what it bears, or one request where that is less
     */
    public static RateShare ofPeak(double perSecond, int processes) {
        int whole = (int) Math.max(1, Math.min(Integer.MAX_VALUE, Math.floor(perSecond)));
        int holders = Math.min(whole, processes);
        long window = perSecond < 1 ? (long) (SECOND_NANOS / perSecond) : SECOND_NANOS;
        return new RateShare(holders, whole / holders, window);
    }
}
