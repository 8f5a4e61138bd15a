package org.dotterelcourse.gateway.forward;

import org.dotterelcourse.gateway.GatewayState;
import org.dotterelcourse.gateway.workers.WorkerEntry;

/**
 * Applies what workers state about themselves in responses, as soon as the headers of a response have arrived, and logs
 * the values that have no effect.
 */
final class WorkerStatementHandler {
    private final Dialect dialect;
    private final ResponseValidator validator;
    private final GatewayState state;
    private final IgnoredValueLog ignoredValues = new IgnoredValueLog();

    WorkerStatementHandler(Dialect dialect, ResponseValidator validator, GatewayState state) {
        this.dialect = dialect;
        this.validator = validator;
        this.state = state;
    }

    /**
     * Handles the headers of a response. A response to another request is not evaluated, because it may be from an earlier
     * worker at the same address.
     */
    void handle(Call call, WorkerEntry worker, StreamedResponse response, long nowNanos) {
        if (!validator.matchesRequest(call, response.headers())) {
            return;
        }
        WorkerStatement statement = dialect.workerStatement(response.status(), response.headers());
        statement.ignored().forEach(value -> ignoredValues.log(worker.id(), value, nowNanos));
        updateRequestLimit(worker, statement, response, nowNanos);
        if (statement.backoffMillis() > 0) {
            state.recordWorkerBackoff(worker, statement.backoffMillis(), nowNanos);
        }
        if (statement.leaving()) {
            state.recordWorkerLeaving(worker, nowNanos);
        }
    }

    /**
     * Applies the worker's request limit. A valid limit is applied with any status, an invalid one leaves the previous
     * limit in force, and its absence removes the limit only if the response is a stamped success.
     */
    private void updateRequestLimit(
            WorkerEntry worker, WorkerStatement statement, StreamedResponse response, long nowNanos) {
        boolean isStampedSuccess = dialect.hasWorkerStamp(response.headers()) && response.status() / 100 == 2;
        boolean isLimitEnded = isStampedSuccess && !statement.mentionsRequestLimit();
        if (statement.requestLimitPerSecond().isPresent() || isLimitEnded) {
            state.recordWorkerLimit(worker, statement.requestLimitPerSecond(), nowNanos);
        }
    }
}
