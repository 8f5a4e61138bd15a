package org.dotterelcourse.configuration;

import java.util.List;

/**
 * An upstream: a group of workers that serve the same models, or the same plain service.
 *
 * @param name the upstream's name, unique in the document
 * @param kind engine or plain service
 * @param region the region its workers stand in
 * @param fencing whether its workers refuse an order that carries an old fencing number
 * @param concurrency how many requests one worker may run at once
 * @param workers its workers
 */
public record Upstream(String name, Kind kind, String region, Fencing fencing, int concurrency, List<Worker> workers) {
    /** What the workers are. */
    public enum Kind {
        /** A model engine. */
        ENGINE,
        /** A plain service. */
        SERVICE
    }

    /** What a worker does with an order's fencing number. */
    public enum Fencing {
        /** It refuses an order whose number is lower than one it has seen. */
        CHECKED,
        /** It ignores the number. */
        IGNORED
    }
}
