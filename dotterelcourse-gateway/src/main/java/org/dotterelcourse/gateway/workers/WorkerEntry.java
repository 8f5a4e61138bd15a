package org.dotterelcourse.gateway.workers;

import java.util.Objects;

/**
 * A worker as published in the platform's store.
 *
 * @param id its name; a worker that restarts may keep it
 * @param startMillis when it started, in milliseconds since the epoch by its own clock; 0 if it does not publish this
 * @param upstream name of the upstream that it serves
 * @param host its IP address
 * @param port its TCP port
 * @param dataCentre name of the data centre that it runs in
 * @param slots number of requests that it can run concurrently
 * @param leaving whether it is shutting down and takes no new requests
 * @param coldMillis how much longer it remains cold, in milliseconds, as published by the worker; 0 if it is warm
 * @param version version of its software, which may differ between the workers of an upstream; empty if it is unknown
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
        long coldMillis,
        String version) {
    /**
     * Returns this entry with {@link #leaving} set.
     *
     * @return this entry if the worker is leaving already, else a copy
     */
    public WorkerEntry toLeaving() {
        return leaving
                ? this
                : new WorkerEntry(id, startMillis, upstream, host, port, dataCentre, slots, true, coldMillis, version);
    }

    /**
     * Returns the address on which the worker listens.
     *
     * @return IP address and port, separated by a colon
     */
    public String address() {
        return host + ":" + port;
    }

    /**
     * Describes this entry for the audit trail.
     *
     * @return upstream, address, software version, state and start
     */
    public String describe() {
        return upstream + " " + host + ":" + port + (version.isEmpty() ? "" : " version " + version)
                + (leaving ? " leaving" : " live")
                + (startMillis == 0 ? "" : " since " + startMillis);
    }

    /**
     * Returns a hash that identifies this start of the worker in messages between processes. With a few thousand
     * workers, a collision is unlikely, and it does no harm.
     *
     * @return a hash of the worker's id and start time
     */
    public int incarnation() {
        return startMillis == 0 ? id.hashCode() : Objects.hash(id, startMillis);
    }
}
