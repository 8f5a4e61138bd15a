package org.dotterelcourse.coordination.membership;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** The running suspicion timeouts. */
final class Suspicions {

    private static final int ASK_BOUND = 16;

    private final Map<String, Suspicion> running = new HashMap<>();

    void start(String name, long deadlineNanos, boolean ask, long nowNanos) {
        running.put(name, new Suspicion(deadlineNanos, ask, nowNanos));
    }

    void end(String name) {
        running.remove(name);
    }

    /** Brings a timeout forward. */
    void hasten(String name, long deadlineNanos) {
        Suspicion suspicion = running.get(name);
        if (suspicion != null && suspicion.deadlineNanos - deadlineNanos > 0) {
            suspicion.deadlineNanos = deadlineNanos;
        }
    }

    /** Gives each suspect the whole time again. */
    void restart(long deadlineNanos) {
        for (Suspicion suspicion : running.values()) {
            suspicion.deadlineNanos = deadlineNanos;
        }
    }

    List<String> expired(long nowNanos) {
        List<String> names = new ArrayList<>();
        for (Map.Entry<String, Suspicion> entry : running.entrySet()) {
            if (nowNanos - entry.getValue().deadlineNanos >= 0) {
                names.add(entry.getKey());
            }
        }
        return names;
    }

    /** Suspects that are to be asked directly again, a bounded number at a time. */
    List<String> toAsk(long nowNanos, long periodNanos) {
        List<String> names = new ArrayList<>();
        for (Map.Entry<String, Suspicion> entry : running.entrySet()) {
            Suspicion suspicion = entry.getValue();
            if (suspicion.ask && nowNanos - suspicion.askedNanos >= periodNanos && names.size() < ASK_BOUND) {
                suspicion.askedNanos = nowNanos;
                names.add(entry.getKey());
            }
        }
        return names;
    }

    /** One timeout; asked directly only by those whose own probe failed or who doubt another's word. */
    private static final class Suspicion {
        private final boolean ask;
        private long deadlineNanos;
        private long askedNanos;

        private Suspicion(long deadlineNanos, boolean ask, long nowNanos) {
            this.deadlineNanos = deadlineNanos;
            this.ask = ask;
            this.askedNanos = nowNanos;
        }
    }
}
