package org.dotterelcourse.policy.rate;

import java.util.function.IntPredicate;

/**
 * Decides whether this process may send one brittle worker a request. Not thread-safe.
 *
 * <p>It handles workers that crash when they have to reject many requests for want of room. Processes see each other's
 * requests only in the next load reports, so that all of them would send to the same free place. Each process therefore has
 * its part of the places for itself, and the parts add up to the room of the worker. While there is room for all requests
 * that may be in flight unseen, a process may send beyond its part.
 */
public final class BrittleWorkerAdmission {
    /** Time in which load reports reach all processes of a small fleet, which are sent directly. */
    private static final double DIRECT_REPORT_SECONDS = 0.15;

    /** Time in which load reports reach all processes of a large fleet, which pass collectors. */
    private static final double COLLECTED_REPORT_SECONDS = 0.6;

    /** Largest fleet with direct load reports. */
    private static final int MAX_DIRECT_PROCESSES = 12;

    /** Standard deviations of the number of unseen requests (a Poisson distribution) for which there must be room. */
    private static final double UNSEEN_DEVIATIONS = 3;

    /** Shortest time after which a worker that was full is assumed to have room for one more request. */
    private static final double MIN_GROWTH_SECONDS = 0.5;

    /** Longest such time: a worker that has lost its other requests must be filled again. */
    private static final double MAX_GROWTH_SECONDS = 4;

    /** Time constant of the average number of requests in flight: some times the duration of a plain call. */
    private static final double AVERAGE_SECONDS = 1;

    private static final double NANOS_PER_SECOND = 1e9;

    private int inFlightWhenFull = -1;
    private long fullNanos;
    private double averageInFlight;
    private long averagedNanos;

    /**
     * Requests at the worker, as far as this process knows.
     *
     * @param own requests of this process in flight
     * @param total requests of all processes in flight
     * @param perSecond requests that all processes lately sent per second
     */
    public record Load(int own, int total, double perSecond) {}

    /**
     * Records that the worker had no room for a request.
     *
     * @param inFlight requests of all processes in flight, without the rejected one
     * @param nowNanos current monotonic time in nanoseconds
     */
    public void recordFull(int inFlight, long nowNanos) {
        inFlightWhenFull = Math.max(0, inFlight);
        fullNanos = nowNanos;
    }

    /**
     * Returns whether this process may send the worker one more request.
     *
     * @param slots requests that the worker runs concurrently; it may let no others wait
     * @param maxRejections rejections per second that the worker bears
     * @param load requests at the worker
     * @param processes number of processes in the fleet, at least 1
     * @param isAmong returns whether this process is among a number of processes that all processes select alike
     * @param nowNanos current monotonic time in nanoseconds
     * @return false if the request might find the worker without room
     */
    public boolean allows(
            int slots, double maxRejections, Load load, int processes, IntPredicate isAmong, long nowNanos) {
        updateAverage(load.total(), nowNanos);
        int room = room(slots, maxRejections, processes, nowNanos);
        if (load.total() >= room) {
            return false;
        }
        int part = room / processes + (isAmong.test(room % processes) ? 1 : 0);
        return load.own() < part || room - load.total() >= 1 + unseen(load, processes);
    }

    /**
     * Returns the room of the worker: its slots, or less if it had no room for them. Each process may get one rejection for
     * each request by which it assumes more room, so that the room grows the more slowly the more processes there are.
     */
    private int room(int slots, double maxRejections, int processes, long nowNanos) {
        if (inFlightWhenFull < 0) {
            return slots;
        }
        double growthSeconds =
                Math.max(MIN_GROWTH_SECONDS, Math.min(MAX_GROWTH_SECONDS, processes / Math.max(maxRejections, 0.01)));
        double grown = (nowNanos - fullNanos) / NANOS_PER_SECOND / growthSeconds;
        return (int) Math.min(slots, inFlightWhenFull + Math.floor(grown));
    }

    /** Returns an upper bound of the requests that peers have sent and that are not yet reported. */
    private double unseen(Load load, int processes) {
        double reportSeconds = processes <= MAX_DIRECT_PROCESSES ? DIRECT_REPORT_SECONDS : COLLECTED_REPORT_SECONDS;
        // Of the requests of one report time, only as many are in flight at once as on average (Little's law).
        double mean = Math.min(load.perSecond() * reportSeconds, Math.max(averageInFlight, load.total()));
        return mean + UNSEEN_DEVIATIONS * Math.sqrt(mean);
    }

    private void updateAverage(int inFlight, long nowNanos) {
        double elapsedSeconds = Math.max(0, nowNanos - averagedNanos) / NANOS_PER_SECOND;
        averagedNanos = nowNanos;
        averageInFlight += (1 - Math.exp(-elapsedSeconds / AVERAGE_SECONDS)) * (inFlight - averageInFlight);
    }
}
