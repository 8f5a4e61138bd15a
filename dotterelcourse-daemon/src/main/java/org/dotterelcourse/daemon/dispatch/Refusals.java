package org.dotterelcourse.daemon.dispatch;

import org.dotterelcourse.daemon.upstream.UpstreamFailure;

/** Words refusals and failures for callers. */
final class Refusals {
    private Refusals() {}

    /**
     * A request that got no grant.
     *
     * @param refused why
     * @param mayHaveRun whether an earlier attempt may have run
     * @return what the caller is told
     */
    static Failure failure(GrantResult.Refused refused, boolean mayHaveRun) {
        Outcome outcome = mayHaveRun ? new Outcome.Unknown() : new Outcome.NotRun();
        Failure plain =
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
                plain.status(), plain.title(), plain.detail(), outcome, refused.retryAfterNanos(), plain.known());
    }

    /**
     * A request that failed at its last worker.
     *
     * @param failure what happened there
     * @param mayHaveRun whether this or an earlier attempt may have run
     * @return what the caller is told
     */
    static Failure failure(UpstreamFailure failure, boolean mayHaveRun) {
        int status = failure.kind() == UpstreamFailure.Kind.SILENT ? Failure.TIMEOUT : Failure.BAD_GATEWAY;
        if (mayHaveRun) {
            return Failure.unknown(status, "upstream failed", failure.detail());
        }
        return Failure.notRun(Failure.UNAVAILABLE, "upstream unavailable", failure.detail());
    }
}
