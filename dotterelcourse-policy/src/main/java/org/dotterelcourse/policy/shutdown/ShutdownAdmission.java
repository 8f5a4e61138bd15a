package org.dotterelcourse.policy.shutdown;

import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;

/**
 * Decides which requests a process still accepts between the signal to stop and its end: those that will be answered by
 * then. The others are better rejected at once, as long as they have not run and can be served elsewhere.
 *
 * <p>A request will be answered if its deadline comes first, or if the longest of the recent requests of its route, with a
 * margin, would be; of its upstream if the route had none. What a request takes that nothing is known about can't be told.
 * Not thread-safe.
 */
public final class ShutdownAdmission {
    private static final long WINDOW_NANOS = TimeUnit.SECONDS.toNanos(60);

    /** A request may take longer than the longest one so far. */
    private static final double MARGIN = 1.25;

    private final RecentDurations durations;
    private boolean hasBegun;
    private long endNanos;

    /**
     * The properties of a request that the decision depends on.
     *
     * @param route name of its route
     * @param upstream name of its upstream
     * @param resumable whether the client may have it continued elsewhere from where it ends, so that it is always accepted
     * @param deadlineNanos monotonic time in nanoseconds at which it is answered in any case
     */
    public record Request(String route, String upstream, boolean resumable, long deadlineNanos) {}

    /**
     * Creates an admission that accepts everything.
     *
     * @param nowNanos monotonic time in nanoseconds
     */
    public ShutdownAdmission(long nowNanos) {
        this.durations = new RecentDurations(WINDOW_NANOS, nowNanos);
    }

    /**
     * Records that a worker has answered a request.
     *
     * @param route name of the request's route
     * @param upstream name of the request's upstream
     * @param nanos time from its arrival to the end of its answer in nanoseconds
     * @param nowNanos monotonic time in nanoseconds
     */
    public void recordAnswer(String route, String upstream, long nanos, long nowNanos) {
        durations.record(routeKey(route), nanos, nowNanos);
        durations.record(upstreamKey(upstream), nanos, nowNanos);
    }

    /**
     * Begins the shutdown.
     *
     * @param end monotonic time in nanoseconds at which requests in flight are ended
     */
    public void begin(long end) {
        hasBegun = true;
        endNanos = end;
    }

    /**
     * Returns whether a request is accepted.
     *
     * @param request the request, which no worker has got yet
     * @param nowNanos monotonic time in nanoseconds
     * @return true if no shutdown has begun, or if the request will be answered before its end
     */
    public boolean accepts(Request request, long nowNanos) {
        if (!hasBegun || request.resumable() || request.deadlineNanos() - endNanos <= 0) {
            return true;
        }
        OptionalLong ofRoute = durations.longest(routeKey(request.route()), nowNanos);
        OptionalLong longest =
                ofRoute.isPresent() ? ofRoute : durations.longest(upstreamKey(request.upstream()), nowNanos);
        return longest.isPresent() && longest.getAsLong() * MARGIN <= endNanos - nowNanos;
    }

    private static String routeKey(String route) {
        return "route " + route;
    }

    private static String upstreamKey(String upstream) {
        return "upstream " + upstream;
    }
}
