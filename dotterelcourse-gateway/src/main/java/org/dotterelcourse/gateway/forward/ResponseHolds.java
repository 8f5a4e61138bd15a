package org.dotterelcourse.gateway.forward;

import java.util.ArrayList;
import java.util.List;

/** The responses that a request holds in memory until it is answered. */
public final class ResponseHolds {
    private final List<ResponseMemory.Share> shares = new ArrayList<>(1);

    ResponseHolds() {}

    void add(ResponseMemory.Share share) {
        shares.add(share);
    }

    /** Releases the memory of all responses, after the request was answered or has ended in another way. */
    public void close() {
        shares.forEach(ResponseMemory.Share::close);
        shares.clear();
    }
}
