package org.dotterelcourse.daemon.http;

import java.util.List;

import io.netty.handler.codec.http.HttpHeaders;
import org.dotterelcourse.daemon.http.exchange.ResponseMatcher;

/** Identifies responses by the request's id, which servers may repeat (docs/PROTOCOLS.md, "Answers"). */
final class RequestIdMatcher implements ResponseMatcher {
    static final String HEADER = "X-Request-Id";

    @Override
    public String requestId(HttpHeaders request) {
        return request.get(HEADER, "");
    }

    @Override
    public Match match(String requestId, HttpHeaders response) {
        List<String> ids = response.getAll(HEADER);
        if (ids.size() > 1) {
            return Match.AMBIGUOUS;
        }
        if (ids.isEmpty()) {
            return Match.UNIDENTIFIED;
        }
        return ids.get(0).equals(requestId) ? Match.OWN : Match.FOREIGN;
    }
}
