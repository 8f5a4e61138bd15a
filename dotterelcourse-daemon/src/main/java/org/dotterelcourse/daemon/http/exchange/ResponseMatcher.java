package org.dotterelcourse.daemon.http.exchange;

import io.netty.handler.codec.http.HttpHeaders;

/** Determines by the headers of a response whether it is the response to a request. */
public interface ResponseMatcher {
    /** Matches any response, for servers that do not identify the request in their responses. */
    ResponseMatcher ANY = new ResponseMatcher() {
        @Override
        public String requestId(HttpHeaders request) {
            return "";
        }

        @Override
        public Match match(String requestId, HttpHeaders response) {
            return Match.OWN;
        }
    };

    /** Results of a comparison. */
    enum Match {
        /** The response identifies the request. */
        OWN,

        /** The response identifies another request. */
        FOREIGN,

        /** The response identifies no request. It is accepted only as the first on its connection. */
        UNIDENTIFIED,

        /** The response contradicts itself, for example with several ids. It is not accepted. */
        AMBIGUOUS
    }

    /**
     * Returns the id of a request.
     *
     * @param request the request headers
     * @return the id, or an empty string if there is none
     */
    String requestId(HttpHeaders request);

    /**
     * Compares a response with the request in flight.
     *
     * @param requestId the id of the request
     * @param response the response headers
     * @return the result
     */
    Match match(String requestId, HttpHeaders response);
}
