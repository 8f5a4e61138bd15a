package org.dotterelcourse.gateway;

import java.util.ArrayList;
import java.util.Collections;
import java.util.IdentityHashMap;
import java.util.Set;

import reactor.core.publisher.Mono;

/**
 * Tells what is in flight that the process is about to end, while there is time left to send a last answer. Used on the
 * gateway's event loop only.
 */
public final class ShutdownSignal {
    private final Set<Runnable> listeners = Collections.newSetFromMap(new IdentityHashMap<>());
    private boolean isSent;

    /**
     * Adds a listener; it is called at once if the signal has been sent.
     *
     * @param listener called at most once
     */
    public void addListener(Runnable listener) {
        if (isSent) {
            listener.run();
        } else {
            listeners.add(listener);
        }
    }

    /**
     * Removes a listener, if it was added and has not been called.
     *
     * @param listener the listener
     */
    public void removeListener(Runnable listener) {
        listeners.remove(listener);
    }

    /**
     * Returns the signal as a publisher.
     *
     * @return completes when the signal is sent
     */
    public Mono<Void> asMono() {
        return Mono.create(sink -> {
            Runnable listener = sink::success;
            addListener(listener);
            sink.onDispose(() -> removeListener(listener));
        });
    }

    /** Sends the signal. Does nothing if it has been sent. */
    public void send() {
        isSent = true;
        ArrayList<Runnable> called = new ArrayList<>(listeners);
        listeners.clear();
        called.forEach(Runnable::run);
    }
}
