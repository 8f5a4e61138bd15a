package org.dotterelcourse.daemon.dispatch;

import org.dotterelcourse.daemon.upstream.UpstreamFailure;
import org.dotterelcourse.policy.cell.CellRequest;

/**
 * Progress of a chat completion over all its attempts: the tokens sent to the caller, and the request for the next attempt.
 * Not thread-safe; used by one attempt at a time.
 */
final class ChatProgress {
    private final ChatCall call;
    private final WorkerListener workers;
    private final StringBuilder text = new StringBuilder();
    private CellRequest request;
    private int tokens;
    private boolean mayHaveRun;

    ChatProgress(ChatCall call, WorkerListener workers) {
        this.call = call;
        this.workers = workers;
        this.request = CellRequests.of(call);
    }

    ChatCall call() {
        return call;
    }

    WorkerListener workers() {
        return workers;
    }

    CellRequest request() {
        return request;
    }

    String text() {
        return text.toString();
    }

    int tokens() {
        return tokens;
    }

    boolean mayHaveRun() {
        return mayHaveRun;
    }

    void append(String piece) {
        text.append(piece);
        tokens++;
        mayHaveRun = true;
    }

    void recordFailure(UpstreamFailure failure) {
        mayHaveRun |= !failure.notRun();
    }

    void setRequest(CellRequest newRequest) {
        request = newRequest;
    }
}
