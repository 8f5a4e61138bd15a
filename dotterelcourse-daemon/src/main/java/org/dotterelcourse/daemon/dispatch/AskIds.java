package org.dotterelcourse.daemon.dispatch;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Makes an id for each ask. A caller's own request id is not used for that: two callers may send the same one, or one
 * caller the same one twice, and the grant of one would then be handed to the other.
 */
public final class AskIds {
    private final String prefix;
    private final AtomicLong last = new AtomicLong();

    /**
     * Makes a source of ids.
     *
     * @param daemon the daemon's name
     * @param incarnation tells this life of the process from earlier ones
     */
    public AskIds(String daemon, long incarnation) {
        this.prefix = daemon + "/" + Long.toString(incarnation, Character.MAX_RADIX) + "/";
    }

    /**
     * Makes the next id.
     *
     * @return an id that no other ask in the fleet has
     */
    public String next() {
        return prefix + last.incrementAndGet();
    }
}
