package org.dotterelcourse.gateway.forward;

import java.util.List;

import io.netty.handler.codec.http.HttpHeaders;
import org.dotterelcourse.daemon.http.exchange.ResponseMatcher;

/** Identifies the responses of workers, which repeat the id of the request. */
final class WorkerResponseMatcher implements ResponseMatcher {
    private final Dialect dialect;

    WorkerResponseMatcher(Dialect dialect) {
        this.dialect = dialect;
    }

    @Override
    public String requestId(HttpHeaders request) {
        return dialect.requestId(request);
    }

    @Override
    public Match match(String requestId, HttpHeaders response) {
        List<String> ids = dialect.requestIds(response);
        if (ids.size() > 1 || dialect.workerStampCount(response) > 1) {
            return Match.AMBIGUOUS;
        }
        if (ids.isEmpty() || ids.get(0).isEmpty()) {
            return Match.UNIDENTIFIED;
        }
        return ids.get(0).equals(requestId) ? Match.OWN : Match.FOREIGN;
    }
}
