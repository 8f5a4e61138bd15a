package org.dotterelcourse.policy.line;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.ToDoubleFunction;

/**
 * The requests that wait at one process for room at an upstream's engines.
 *
 * <p>It answers a burst of long prompts that can wait, and a customer that sends many times its usual. Sent on at once they
 * would all be read at once, and their answers would crawl until their clients give up: of 646 drafts in a burst of 2.3
 * times the usual, 337 ended so after 14 s of work each. In the line they cost nothing.
 *
 * <p>The more urgent go first, and among equals those that can still be on time, so that what is late already makes nobody
 * else late. Among those, the oldest and the one of the customer that lately got least take turns: a customer that sends
 * more than all others together neither takes all places nor loses all of its own.
 *
 * @param <T> the type of what the requests are known by
 */
public final class UpstreamQueue<T> {
    /** As long as a burst takes to build up: a customer's share is judged by what it got in the last seconds. */
    private static final double HALF_LIFE_NANOS = 4e9;

    /** Above this number, customers that lately got next to nothing are forgotten, so that the memory stays bounded. */
    private static final int MANY_CUSTOMERS = 256;

    private static final double FORGOTTEN = 0.01;
    private static final double NANOS_PER_MILLI = 1e6;

    private final List<PendingRequest<T>> waiting = new ArrayList<>();
    private final Map<String, Served> served = new HashMap<>();
    private boolean oldestNext;
    private double placed;
    private long placedNanos;

    private record Served(double count, long atNanos) {
        double lately(long nowNanos) {
            return count * Math.pow(0.5, Math.max(0, nowNanos - atNanos) / HALF_LIFE_NANOS);
        }
    }

    /**
     * A request joins.
     *
     * @param waiter the request
     */
    public void add(PendingRequest<T> waiter) {
        waiting.add(waiter);
    }

    /**
     * A request leaves, whatever for; nothing if it is not here.
     *
     * @param item what it is known by
     */
    public void remove(T item) {
        waiting.removeIf(each -> each.item().equals(item));
    }

    /**
     * How many wait.
     *
     * @return the count
     */
    public int size() {
        return waiting.size();
    }

    /**
     * Who is next.
     *
     * @param nowNanos the time
     * @return empty if nobody waits
     */
    public Optional<PendingRequest<T>> peekNext(long nowNanos) {
        Comparator<PendingRequest<T>> order = Comparator.<PendingRequest<T>>comparingInt(PendingRequest::priority)
                .thenComparing(each -> nowNanos > each.onTimeUntilNanos())
                .thenComparingDouble(oldestNext ? each -> 0 : servedLately(nowNanos))
                .thenComparingLong(PendingRequest::arrivalNanos);
        return waiting.stream().min(order);
    }

    private ToDoubleFunction<PendingRequest<T>> servedLately(long nowNanos) {
        return each -> served.containsKey(each.customer())
                ? served.get(each.customer()).lately(nowNanos)
                : 0;
    }

    /**
     * A request was sent to an engine, from the line or past it.
     *
     * @param customer whose it is
     * @param nowNanos the time
     */
    public void recordDispatch(String customer, long nowNanos) {
        oldestNext = !oldestNext;
        placed = placedLately(nowNanos) + 1;
        placedNanos = nowNanos;
        Served before = served.getOrDefault(customer, new Served(0, nowNanos));
        served.put(customer, new Served(before.lately(nowNanos) + 1, nowNanos));
        if (served.size() > MANY_CUSTOMERS) {
            served.values().removeIf(each -> each.lately(nowNanos) < FORGOTTEN);
        }
    }

    private double placedLately(long nowNanos) {
        return placed * Math.pow(0.5, Math.max(0, nowNanos - placedNanos) / HALF_LIFE_NANOS);
    }

    /**
     * How long a newcomer would wait, by how many lately left for an engine.
     *
     * @param nowNanos the time
     * @return milliseconds
     */
    public double expectedWaitMillis(long nowNanos) {
        double perNano = placedLately(nowNanos) * Math.log(2) / HALF_LIFE_NANOS;
        double nanos = perNano == 0 ? HALF_LIFE_NANOS : waiting.size() / perNano;
        return waiting.isEmpty() ? 0 : nanos / NANOS_PER_MILLI;
    }

    /**
     * Takes out those that can't end in time any more.
     *
     * @param nowNanos the time
     * @return who is to be told so
     */
    public List<PendingRequest<T>> removeExpired(long nowNanos) {
        List<PendingRequest<T>> hopeless = waiting.stream()
                .filter(each -> nowNanos > each.inTimeUntilNanos())
                .toList();
        waiting.removeAll(hopeless);
        return hopeless;
    }

    /**
     * Takes out all.
     *
     * @return who is to be told to go elsewhere
     */
    public List<PendingRequest<T>> removeAll() {
        List<PendingRequest<T>> all = List.copyOf(waiting);
        waiting.clear();
        return all;
    }
}
