package org.dotterelcourse.gateway.workers;

import java.util.Objects;

/**
 * A worker as it is published.
 *
 * @param id its name; another start may bear the same one
 * @param startMillis when it started, in milliseconds since 1970 by its own clock; 0 if it doesn't say
 * @param upstream the upstream that it serves
 * @param host its IP number
 * @param port its TCP port
 * @param dataCentre where it stands
 * @param slots how many requests it runs at once
 * @param leaving whether it takes no new work
 * @param coldMillis how much longer it stays cold, by its own word; 0 if it is not
 */
public record WorkerEntry(
        String id,
        long startMillis,
        String upstream,
        String host,
        int port,
        String dataCentre,
        int slots,
        boolean leaving,
        long coldMillis) {
    /**
     * The same worker as one that takes no new work.
     *
     * @return this entry if it says so already
     */
    public WorkerEntry toLeaving() {
        return leaving
                ? this
                : new WorkerEntry(id, startMillis, upstream, host, port, dataCentre, slots, true, coldMillis);
    }

    /**
     * Where it listens.
     *
     * @return IP number and port
     */
    public String address() {
        return host + ":" + port;
    }

    /**
     * A short name of this start of the worker, for messages between processes. That two of some thousand share one is
     * unlikely and harmless.
     *
     * @return the same for the same name and start
     */
    public int incarnation() {
        return startMillis == 0 ? id.hashCode() : Objects.hash(id, startMillis);
    }
}
