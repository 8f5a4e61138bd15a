package org.dotterelcourse.daemon.dispatch;

import java.util.HashSet;
import java.util.Set;

import org.dotterelcourse.daemon.upstream.UpstreamFailure;

/**
 * How far a chat completion has come over all its attempts: the tokens that its caller has, and the workers that failed
 * it. Used by one attempt at a time.
 */
final class ChatProgress {
    private final ChatCall call;
    private final StringBuilder text = new StringBuilder();
    private final Set<String> excludedWorkers = new HashSet<>();
    private int tokens;
    private int attempts;
    private boolean mayHaveRun;

    ChatProgress(ChatCall call) {
        this.call = call;
    }

    ChatCall call() {
        return call;
    }

    String text() {
        return text.toString();
    }

    int tokens() {
        return tokens;
    }

    int attempts() {
        return attempts;
    }

    Set<String> excludedWorkers() {
        return excludedWorkers;
    }

    boolean mayHaveRun() {
        return mayHaveRun;
    }

    void add(String piece) {
        text.append(piece);
        tokens++;
        mayHaveRun = true;
    }

    void failedAt(String worker, UpstreamFailure failure) {
        attempts++;
        excludedWorkers.add(worker);
        mayHaveRun |= !failure.notRun();
    }
}
