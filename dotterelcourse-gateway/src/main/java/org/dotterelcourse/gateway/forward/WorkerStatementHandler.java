package org.dotterelcourse.gateway.forward;

import java.util.OptionalDouble;

import org.dotterelcourse.gateway.GatewayState;
import org.dotterelcourse.gateway.workers.WorkerEntry;

/**
 * Applies what workers state about themselves in responses, and logs the values that have no effect. The headers of a
 * response count once its body is whole, those of a stream, which may last long, when they arrive.
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
        updateLimits(worker, statement, response, nowNanos);
        if (statement.backoffMillis() > 0) {
            state.statements().recordBackoff(worker, statement.backoffMillis(), nowNanos);
        }
        if (statement.leaving()) {
            state.statements().recordLeaving(worker, nowNanos);
        }
    }

    /**
     * Applies the worker's request limit and brittleness. A valid value is applied with any status, an invalid one leaves
     * the previous one in force, and its absence removes it only if the response is a stamped success.
     */
    private void updateLimits(WorkerEntry worker, WorkerStatement statement, StreamedResponse response, long nowNanos) {
        boolean isStampedSuccess = dialect.hasWorkerStamp(response.headers()) && response.status() / 100 == 2;
        OptionalDouble limit = statement.requestLimitPerSecond();
        if (limit.isPresent() || isStampedSuccess && !statement.mentionsRequestLimit()) {
            state.statements().recordLimit(worker, limit, nowNanos);
        }
        OptionalDouble rejections = statement.maxRejectionsPerSecond();
        if (rejections.isPresent() || isStampedSuccess && !statement.mentionsBrittleness()) {
            state.statements().recordBrittleness(worker, rejections, nowNanos);
        }
    }
}
