package org.dotterelcourse.daemon.http.exchange;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;

/** How a response that may have a body shows where it ends, by RFC 9112, 6. */
enum ResponseFraming {
    /** By a length in the head. */
    LENGTH,

    /** By a last chunk. */
    CHUNKS,

    /** By the end of the connection. */
    CONNECTION_END,

    /** By a transfer coding that is not understood, so that the end can't be known. */
    UNKNOWN,

    /** By several lengths or transfer encodings. */
    AMBIGUOUS;

    static ResponseFraming of(HttpResponse response) {
        HttpHeaders headers = response.headers();
        int lengths = headers.getAll(HttpHeaderNames.CONTENT_LENGTH).size();
        int encodings = headers.getAll(HttpHeaderNames.TRANSFER_ENCODING).size();
        if (lengths > 1 || encodings > 1) {
            return AMBIGUOUS;
        }
        if (encodings == 0) {
            return lengths == 0 ? CONNECTION_END : LENGTH;
        }
        String encoding = headers.get(HttpHeaderNames.TRANSFER_ENCODING);
        boolean isUnderstood = HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(encoding)
                && lengths == 0
                && response.protocolVersion().minorVersion() > 0;
        return isUnderstood ? CHUNKS : UNKNOWN;
    }
}
