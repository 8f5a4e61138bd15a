package org.dotterelcourse.daemon.dispatch;

/** Hears which workers a request is sent to. */
@FunctionalInterface
public interface WorkerListener {
    /**
     * The request is sent to a worker.
     *
     * @param worker its name
     */
    void sentTo(String worker);
}
