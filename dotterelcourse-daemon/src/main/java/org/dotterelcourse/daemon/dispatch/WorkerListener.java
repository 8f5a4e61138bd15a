package org.dotterelcourse.daemon.dispatch;

/** Notified of the workers that a request is sent to. */
@FunctionalInterface
public interface WorkerListener {
    /**
     * Called when the request is sent to a worker, once per attempt.
     *
     * @param worker the name of the worker
     */
    void sentTo(String worker);
}
