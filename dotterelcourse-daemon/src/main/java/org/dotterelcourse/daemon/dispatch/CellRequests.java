package org.dotterelcourse.daemon.dispatch;

import java.util.Set;
import java.util.concurrent.TimeUnit;

import org.dotterelcourse.configuration.RequestClass;
import org.dotterelcourse.policy.cell.CellRequest;
import org.dotterelcourse.policy.cell.ClassTerms;

/** Converts calls to the requests that cells schedule. */
final class CellRequests {
    private CellRequests() {}

    static CellRequest of(ChatCall call) {
        return new CellRequest(
                call.id(),
                terms(call.requestClass()),
                call.customer(),
                call.arrivalNanos(),
                call.inputTokens(),
                call.prefix(),
                call.requestClass().idempotent(),
                0,
                Set.of());
    }

    static CellRequest of(ServiceRequest request) {
        return new CellRequest(
                request.id(),
                terms(request.requestClass()),
                request.customer(),
                request.arrivalNanos(),
                0,
                0,
                request.requestClass().idempotent(),
                0,
                Set.of());
    }

    private static ClassTerms terms(RequestClass requestClass) {
        return new ClassTerms(
                requestClass.name(),
                requestClass.tier(),
                requestClass.minimumShare(),
                requestClass.maxWaiting(),
                requestClass.lateIsUseless(),
                TimeUnit.MILLISECONDS.toNanos(requestClass.targetMillis()),
                TimeUnit.MILLISECONDS.toNanos(requestClass.tokenIntervalMillis()),
                requestClass.maxOutputTokens());
    }
}
