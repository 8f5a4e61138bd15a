package org.dotterelcourse.policy.rate;

/**
 * Divides a worker's request rate among the processes of a fleet, as a sliding-window limit for each of them.
 *
 * <p>Answers workers that can take only a few requests per second: a cold worker crashes under the requests that
 * sixty processes send it in the tenth of a second before they see each other's load reports. Therefore only some
 * processes, the holders, may use such a worker, and each of them sends it at most its share per window. All
 * processes derive the same holders from the fleet's members, so that no process needs timely reports of other
 * processes' requests. If a network partition splits the fleet and each half considers the other one dead, the worker
 * gets at most twice its rate.
 *
 * @param holders number of processes that may use the worker
 * @param requests number of requests that each holder may send per window
 * @param windowNanos length of the sliding window in nanoseconds
 */
public record RateShare(int holders, int requests, long windowNanos) {
    private static final long SECOND_NANOS = 1_000_000_000L;

    /**
     * Minimum mean rate: a worker with a limit of 0 still gets a request now and then, which returns its current
     * limit.
     */
    private static final double MIN_MEAN_PER_SECOND = 0.25;

    /** Holders beyond the whole requests per second: more processes can use the worker, each of them less often. */
    private static final int EXTRA_HOLDERS = 3;

    /**
     * Divides a rate that must not be exceeded in any second.
     *
     * @param perSecond maximum number of requests per second, greater than 0
     * @param processes number of processes in the fleet, at least 1
     * @return the share; all shares together do not exceed the rate in any second. Below one request per second they
     *     allow one request per {@code 1 / perSecond} seconds
     */
    public static RateShare ofPeak(double perSecond, int processes) {
        int whole = (int) Math.max(1, Math.min(Integer.MAX_VALUE, Math.floor(perSecond)));
        int holders = Math.min(whole, processes);
        long windowNanos = perSecond < 1 ? (long) (SECOND_NANOS / perSecond) : SECOND_NANOS;
        return new RateShare(holders, whole / holders, windowNanos);
    }

    /**
     * Divides the whole of a mean rate. Over a short time the worker may get one window's requests of every holder in
     * addition.
     *
     * @param perSecond mean number of requests per second, at least 0
     * @param processes number of processes in the fleet, at least 1
     * @return the share; all shares together equal the rate, or one request in four seconds if the rate is lower
     */
    public static RateShare ofMean(double perSecond, int processes) {
        double rate = Math.max(MIN_MEAN_PER_SECOND, perSecond);
        int holders = (int) Math.min(processes, Math.floor(rate) + EXTRA_HOLDERS);
        int requests = (int) Math.min(Integer.MAX_VALUE, Math.ceil(rate / holders));
        return new RateShare(holders, requests, (long) (SECOND_NANOS * (holders * (double) requests / rate)));
    }
}
