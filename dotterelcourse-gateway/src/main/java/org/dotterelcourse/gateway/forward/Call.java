package org.dotterelcourse.gateway.forward;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import org.dotterelcourse.gateway.routing.Route;
import org.dotterelcourse.gateway.routing.UpstreamSpec;
import org.dotterelcourse.policy.quarantine.Fingerprint;
import org.dotterelcourse.policy.selection.Prompt;

/** One request that was let in, with what has been tried for it. */
public final class Call {
    private static final long NANOS_PER_MILLI = 1_000_000L;

    private final Terms terms;
    private final HttpMethod method;
    private final String uri;
    private final HttpHeaders headers;
    private final byte[] body;
    private final Set<String> tried = new HashSet<>();
    private int sends;
    private int connectFailures;
    private boolean mayHaveRun;
    private String lastEventId = "";
    private long lastEventNanos;
    private long firstEventMillis;
    private long longestPauseMillis;
    private double lastPauseMillis;
    private int events;
    private int attemptEvents;
    private Fingerprint fingerprint;
    private boolean suspect;
    private long sentNanos;
    private long waitedMillis;
    private String lastWorker = "";

    /**
     * What the request was let in as.
     *
     * @param id its id
     * @param route its route
     * @param upstream the upstream that serves it
     * @param customer whose it is, empty if nobody's
     * @param priority urgency, 0 the highest
     * @param prompt what it asks of an engine
     * @param arrivalNanos when it came
     * @param deadlineNanos when it must have its final answer
     */
    public record Terms(
            String id,
            Route route,
            UpstreamSpec upstream,
            String customer,
            int priority,
            Optional<Prompt> prompt,
            long arrivalNanos,
            long deadlineNanos) {}

    /**
     * Makes a call of which nothing was tried yet.
     *
     * @param terms what it was let in as
     * @param method its method
     * @param uri path and query as the client sent them
     * @param headers those of the client's headers that are passed on
     * @param body its whole body
     */
    public Call(Terms terms, HttpMethod method, String uri, HttpHeaders headers, byte[] body) {
        this.terms = terms;
        this.method = method;
        this.uri = uri;
        this.headers = headers;
        this.body = body;
    }

    /**
     * What it was let in as.
     *
     * @return the terms
     */
    public Terms terms() {
        return terms;
    }

    HttpMethod method() {
        return method;
    }

    String uri() {
        return uri;
    }

    HttpHeaders headers() {
        return headers;
    }

    byte[] body() {
        return body;
    }

    long leftMillis(long nowNanos) {
        return (terms.deadlineNanos() - nowNanos) / NANOS_PER_MILLI;
    }

    Set<String> tried() {
        return tried;
    }

    /** A worker is about to get the request. */
    void sending(String worker, long nowNanos) {
        if (sentNanos == 0) {
            waitedMillis = (nowNanos - terms.arrivalNanos()) / NANOS_PER_MILLI;
        }
        sentNanos = nowNanos;
        attemptEvents = 0;
        tried.add(worker);
        lastWorker = worker;
        sends++;
    }

    /** The worker could not be reached: it got nothing, so that the send doesn't count. */
    void notReached() {
        sends--;
        connectFailures++;
    }

    /**
     * How many workers were sent the request.
     *
     * @return those that could not be reached left out
     */
    public int sends() {
        return sends;
    }

    /** From now on nobody can say that the request was not run. */
    void mayHaveRun() {
        mayHaveRun = true;
    }

    /** Whether some worker may have run it, so that its client must not be told otherwise. */
    boolean hasMaybeRun() {
        return mayHaveRun;
    }

    int connectFailures() {
        return connectFailures;
    }

    String lastEventId() {
        return lastEventId;
    }

    /** An event is passed on. */
    void event(String id, long nowNanos) {
        lastEventId = id;
        events++;
        attemptEvents++;
        lastPauseMillis = lastEventNanos == 0 ? 0 : (nowNanos - lastEventNanos) / (double) NANOS_PER_MILLI;
        if (lastEventNanos == 0) {
            firstEventMillis = (nowNanos - terms.arrivalNanos()) / NANOS_PER_MILLI;
        } else {
            longestPauseMillis = Math.max(longestPauseMillis, (nowNanos - lastEventNanos) / NANOS_PER_MILLI);
        }
        lastEventNanos = nowNanos;
    }

    /** Time since it was last sent to a worker. */
    double sinceSentMillis(long nowNanos) {
        return (nowNanos - sentNanos) / (double) NANOS_PER_MILLI;
    }

    /** How many events were passed on. */
    int events() {
        return events;
    }

    /** How many of them came from the worker that has it now. */
    int attemptEvents() {
        return attemptEvents;
    }

    /**
     * What it has in common with its repeats.
     *
     * @return the fingerprint, computed when it is first asked for
     */
    Fingerprint fingerprint() {
        if (fingerprint == null) {
            fingerprint = Fingerprint.of(terms.customer(), method.name(), uri, body);
        }
        return fingerprint;
    }

    /** A worker crashed under it or its like: it must not run beside another such request. */
    void suspect(boolean value) {
        suspect = value;
    }

    boolean suspect() {
        return suspect;
    }

    /** Time between the last two events, in milliseconds; 0 before the second one. */
    double lastPauseMillis() {
        return lastPauseMillis;
    }

    /**
     * Time from the request's arrival until it was first sent to a worker.
     *
     * @return milliseconds, 0 if it was not sent
     */
    public long waitedMillis() {
        return waitedMillis;
    }

    /**
     * Time from the request's arrival to its first event.
     *
     * @return milliseconds, 0 if there was none
     */
    public long firstEventMillis() {
        return firstEventMillis;
    }

    /**
     * The longest time between two events.
     *
     * @return milliseconds, 0 before the second event
     */
    public long longestPauseMillis() {
        return longestPauseMillis;
    }

    /**
     * The worker that had it last.
     *
     * @return its name, empty if none
     */
    public String lastWorker() {
        return lastWorker;
    }
}
