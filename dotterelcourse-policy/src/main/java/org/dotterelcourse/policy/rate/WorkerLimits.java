package org.dotterelcourse.policy.rate;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalDouble;

/** What workers last said of the requests that they take in a second, by the incarnation of the worker. */
public final class WorkerLimits {
    private final Map<Integer, Double> perSecond = new HashMap<>();

    /**
     * A worker has answered this process.
     *
     * @param worker its incarnation
     * @param named requests a second that it takes from all processes, empty if it named no limit
     * @return whether this is news
     */
    public boolean said(int worker, OptionalDouble named) {
        if (named.isEmpty()) {
            return perSecond.remove(worker) != null;
        }
        Double before = perSecond.put(worker, named.getAsDouble());
        return before == null || before != named.getAsDouble();
    }

    /**
     * The limit that a worker last named.
     *
     * @param worker its incarnation
     * @return requests a second, empty if it takes whatever it has room for
     */
    public OptionalDouble limit(int worker) {
        Double known = perSecond.get(worker);
        return known == null ? OptionalDouble.empty() : OptionalDouble.of(known);
    }
}
