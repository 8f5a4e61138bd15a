package org.dotterelcourse.coordination.membership;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** The running suspicion timeouts. */
final class Suspicions {

    private static final int ASK_BOUND = 64;

    private final Map<String, Suspicion> running = new HashMap<>();

    /** The suspect itself is asked from a time on: at once by those who found it silent, late by the others. */
    void start(String name, long deadlineNanos, long askFromNanos) {
        running.put(name, new Suspicion(deadlineNanos, askFromNanos));
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

    /** Suspects that are to be asked directly, a bounded number at a time. */
    List<String> toAsk(long nowNanos, long periodNanos) {
        List<String> names = new ArrayList<>();
        for (Map.Entry<String, Suspicion> entry : running.entrySet()) {
            Suspicion suspicion = entry.getValue();
            if (nowNanos - suspicion.askFromNanos >= 0 && names.size() < ASK_BOUND) {
                suspicion.asked(nowNanos, periodNanos);
                names.add(entry.getKey());
            }
        }
        return names;
    }

    /** Whether a suspect was first asked so long ago; if it was not asked yet, it is to be asked now. */
    boolean askedFor(String name, long nanos, long nowNanos) {
        Suspicion suspicion = running.get(name);
        if (suspicion == null) {
            return true;
        }
        if (!suspicion.asked) {
            suspicion.askFromNanos = nowNanos;
            return false;
        }
        return nowNanos - suspicion.firstAskedNanos >= nanos;
    }

    /** One timeout. */
    private static final class Suspicion {
        private long deadlineNanos;
        private long askFromNanos;
        private boolean asked;
        private long firstAskedNanos;

        private Suspicion(long deadlineNanos, long askFromNanos) {
            this.deadlineNanos = deadlineNanos;
            this.askFromNanos = askFromNanos;
        }

        private void asked(long nowNanos, long periodNanos) {
            if (!asked) {
                asked = true;
                firstAskedNanos = nowNanos;
            }
            askFromNanos = nowNanos + periodNanos;
        }
    }
}
