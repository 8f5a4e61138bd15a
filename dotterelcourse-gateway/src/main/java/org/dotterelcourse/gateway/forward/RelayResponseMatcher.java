package org.dotterelcourse.gateway.forward;

import java.util.List;

import io.netty.handler.codec.http.HttpHeaders;
import org.dotterelcourse.daemon.http.exchange.ResponseMatcher;

/** Identifies the responses of peers, which repeat the id of the relayed request; those of earlier releases have none. */
final class RelayResponseMatcher implements ResponseMatcher {
    @Override
    public String requestId(HttpHeaders request) {
        return request.get(RelayHeaders.ID, "");
    }

    @Override
    public Match match(String requestId, HttpHeaders response) {
        List<String> ids = response.getAll(RelayHeaders.ID);
        if (ids.size() > 1) {
            return Match.AMBIGUOUS;
        }
        if (ids.isEmpty()) {
            return Match.UNIDENTIFIED;
        }
        return ids.get(0).equals(requestId) ? Match.OWN : Match.FOREIGN;
    }
}
