package org.dotterelcourse.daemon.dispatch;

import org.dotterelcourse.daemon.upstream.UpstreamFailure;
import org.dotterelcourse.policy.cell.CellRequest;

/**
 * How far a chat completion has come over all its attempts: the tokens that its caller has, and what is to be asked for
 * next. Used by one attempt at a time.
 */
final class ChatProgress {
    private final ChatCall call;
    private final WorkerListener workers;
    private final StringBuilder text = new StringBuilder();
    private CellRequest ask;
    private int tokens;
    private boolean mayHaveRun;

    ChatProgress(ChatCall call, WorkerListener workers) {
        this.call = call;
        this.workers = workers;
        this.ask = Asks.of(call);
    }

    ChatCall call() {
        return call;
    }

    WorkerListener workers() {
        return workers;
    }

    CellRequest ask() {
        return ask;
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

    void add(String piece) {
        text.append(piece);
        tokens++;
        mayHaveRun = true;
    }

    void failed(UpstreamFailure failure) {
        mayHaveRun |= !failure.notRun();
    }

    void next(CellRequest next) {
        ask = next;
    }
}
