package org.dotterelcourse.experiments;

import org.dotterelcourse.policy.cell.CellRequest;

/** One caller's request and what the caller has received. */
final class Call {
    enum State {
        OPEN,
        ANSWERED,
        REFUSED,
        FAILED
    }

    final int totalTokens;
    final long arrivalNanos;
    CellRequest ask;
    State state = State.OPEN;
    int received;
    long firstTokenNanos = -1;
    long lastTokenNanos = -1;
    int attempts;

    Call(CellRequest ask, int totalTokens) {
        this.ask = ask;
        this.totalTokens = totalTokens;
        this.arrivalNanos = ask.arrivalNanos();
    }

    /** Whether the whole answer came, began within the class's target and then kept its pace. */
    boolean attained() {
        if (state != State.ANSWERED || waitNanos() > ask.terms().targetNanos()) {
            return false;
        }
        long streaming = lastTokenNanos - firstTokenNanos;
        return streaming <= ask.terms().tokenIntervalNanos() * Math.max(1, totalTokens - 1);
    }

    long waitNanos() {
        return firstTokenNanos - arrivalNanos;
    }
}
