package org.dotterelcourse.gateway.forward;

import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;

/** Hop-by-hop headers of RFC 9110, 7.6.1, and headers that each sender of a message sets itself. */
public final class HopByHopHeaders {
    private static final Set<String> NAMES = Set.of(
            "connection",
            "keep-alive",
            "proxy-connection",
            "proxy-authenticate",
            "proxy-authorization",
            "te",
            "trailer",
            "transfer-encoding",
            "upgrade",
            "content-length",
            "expect");

    private HopByHopHeaders() {}

    /**
     * Copies headers without those that concern one connection only.
     *
     * @param headers the headers of a message
     * @param isExcluded returns whether a header is left out as well, by its name in lower case
     * @return the headers to pass on
     */
    public static HttpHeaders remove(HttpHeaders headers, Predicate<String> isExcluded) {
        HttpHeaders copy = new DefaultHttpHeaders();
        for (Map.Entry<String, String> header : headers) {
            String name = header.getKey().toLowerCase(Locale.ROOT);
            if (!NAMES.contains(name) && !isExcluded.test(name)) {
                copy.add(header.getKey(), header.getValue());
            }
        }
        return copy;
    }
}
