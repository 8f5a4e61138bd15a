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

    /** The least mean rate: a worker that takes nothing is still asked now and then, so that its next word is heard. */
    private static final double LEAST_MEAN = 0.25;

    /** Holders beyond the whole requests in a second: more processes can use the worker, each of them less often. */
    private static final int SPARE_HOLDERS = 3;

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

    /**
     * Shares out what a worker takes on average, all of it. In a short time it may get one window's requests of every
     * holder beside that.
     *
     * @param perSecond what it takes in a second, not negative
     * @param processes processes of the fleet, at least 1
     * @return the shares; their sum is what it takes, or one request in four seconds where that is less
     */
    public static RateShare ofMean(double perSecond, int processes) {
        double rate = Math.max(LEAST_MEAN, perSecond);
        int holders = (int) Math.min(processes, Math.floor(rate) + SPARE_HOLDERS);
        int requests = (int) Math.min(Integer.MAX_VALUE, Math.ceil(rate / holders));
        return new RateShare(holders, requests, (long) (SECOND_NANOS * (holders * (double) requests / rate)));
    }
}
