package org.dotterelcourse.daemon.dispatch;

import org.dotterelcourse.daemon.upstream.UpstreamFailure;

/** Converts refusals and upstream failures to the failures reported to callers. */
final class Refusals {
    private Refusals() {}

    /**
     * Converts the refusal of a request that got no grant.
     *
     * @param refused the refusal
     * @param mayHaveRun whether an earlier attempt may have run
     * @return the failure to report to the caller
     */
    static Failure failure(GrantResult.Refused refused, boolean mayHaveRun) {
        Outcome outcome = mayHaveRun ? new Outcome.Unknown() : new Outcome.NotRun();
        Failure base =
                switch (refused.reason()) {
                    case CLASS_FULL ->
                        Failure.notRun(
                                Failure.TOO_MANY, "class full", "the class has as many requests waiting as it may");
                    case CELL_FULL ->
                        Failure.notRun(
                                Failure.TOO_MANY, "full", "the queue is full of requests of the same or a higher tier");
                    case TOO_LATE ->
                        Failure.notRun(Failure.UNAVAILABLE, "too late", "the class's target can't be met any more");
                    case NO_WORKER ->
                        Failure.notRun(
                                Failure.UNAVAILABLE, "no worker", "no worker of the upstream can take the request");
                };
        return new Failure(
                base.status(), base.title(), base.detail(), outcome, refused.retryAfterNanos(), base.known());
    }

    /**
     * Converts the failure of the last attempt of a request.
     *
     * @param failure the failure at the worker
     * @param mayHaveRun whether this or an earlier attempt may have run
     * @return the failure to report to the caller
     */
    static Failure failure(UpstreamFailure failure, boolean mayHaveRun) {
        int status = failure.kind() == UpstreamFailure.Kind.SILENT ? Failure.TIMEOUT : Failure.BAD_GATEWAY;
        if (mayHaveRun) {
            return Failure.unknown(status, "upstream failed", failure.detail());
        }
        return Failure.notRun(Failure.UNAVAILABLE, "upstream unavailable", failure.detail());
    }
}
