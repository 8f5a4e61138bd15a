package org.dotterelcourse.experiments;

/** One attempt of a call at a worker. */
final class Job {
    final Call call;
    final long grant;
    final int resumedFrom;
    final long sentNanos;
    /** Time that its prompt still takes to read; -1 before the first chunk. */
    long prefillNanos = -1;

    int tokens;
    long firstTokenNanos = -1;
    boolean cancelled;

    Job(Call call, long grant, long sentNanos) {
        this.call = call;
        this.grant = grant;
        this.resumedFrom = call.ask.resumedTokens();
        this.tokens = resumedFrom;
        this.sentNanos = sentNanos;
    }
}
