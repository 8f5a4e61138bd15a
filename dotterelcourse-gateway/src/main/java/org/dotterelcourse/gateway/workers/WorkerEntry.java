package org.dotterelcourse.gateway.workers;

/**
 * A worker as it is published.
 *
 * @param id its name, new with each start
 * @param upstream the upstream that it serves
 * @param host its IP number
 * @param port its TCP port
 * @param dataCentre where it stands
 * @param slots how many requests it runs at once
 * @param leaving whether it takes no new work
 */
public record WorkerEntry(
        String id, String upstream, String host, int port, String dataCentre, int slots, boolean leaving) {
    /**
     * Where it listens.
     *
     * @return IP number and port
     */
    public String address() {
        return host + ":" + port;
    }
}
