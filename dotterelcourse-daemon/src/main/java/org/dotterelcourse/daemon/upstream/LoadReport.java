package org.dotterelcourse.daemon.upstream;

/**
 * An engine's own word about its load. It lags behind the truth.
 *
 * @param running requests in its batch
 * @param waiting requests that wait at the engine
 * @param reportedAtMillis when it was true, by the engine's wall clock
 * @param leaving whether it takes no more work
 */
public record LoadReport(int running, int waiting, long reportedAtMillis, boolean leaving) {}
