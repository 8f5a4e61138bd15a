package org.dotterelcourse.gateway.forward;

import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;

import io.netty.handler.codec.http.HttpHeaders;
import org.dotterelcourse.policy.selection.LatencyClass;
import org.dotterelcourse.policy.selection.Prompt;

/** How clients and workers spell what the router needs to know and to tell. */
public interface Dialect {
    /**
     * Reads a request's id.
     *
     * @param headers of a request or an answer
     * @return the id, empty if there is none
     */
    String requestId(HttpHeaders headers);

    /**
     * Reads how long a client waits.
     *
     * @param headers the request's
     * @return milliseconds from now; empty if it doesn't say, or not in figures
     */
    OptionalLong clientTimeoutMillis(HttpHeaders headers);

    /**
     * Reads a client's key.
     *
     * @param headers the request's
     * @return the key, empty if there is none
     */
    String apiKey(HttpHeaders headers);

    /**
     * Reads what a request asks of an engine.
     *
     * @param headers the request's
     * @param pace what the route's streams must not be held up by
     * @return the prompt; empty if the request tells of none
     */
    Optional<Prompt> prompt(HttpHeaders headers, LatencyClass pace);

    /**
     * Whether only the router may set a header, so that a client's own is dropped.
     *
     * @param name the header's name in lower case
     * @return true if it must not be passed on
     */
    boolean isReserved(String name);

    /**
     * Adds to a request what the router has to tell the worker.
     *
     * @param headers the request's, as they go to the worker
     * @param told what to tell
     */
    void addWorkerHeaders(HttpHeaders headers, WorkerRequestInfo told);

    /**
     * What the router tells a worker.
     *
     * @param workerId the worker that the request is meant for
     * @param customer whose request it is, empty if nobody's
     * @param remainingMillis how long the client will still wait
     * @param priority urgency, 0 the highest
     * @param isEngine whether the worker is a model engine
     * @param fetchFrom address of the engine from which to fetch parts of the prompt, empty if from none
     */
    record WorkerRequestInfo(
            String workerId, String customer, long remainingMillis, int priority, boolean isEngine, String fetchFrom) {}

    /**
     * Whether an answer bears a worker's own mark, without which it is no worker's answer.
     *
     * @param headers the answer's
     * @return true if it does
     */
    boolean hasWorkerStamp(HttpHeaders headers);

    /**
     * Whether a worker's answer says that it has not run the request and never will.
     *
     * @param status the answer's status
     * @param headers the answer's
     * @return true only if it says so
     */
    boolean isNotExecuted(int status, HttpHeaders headers);

    /**
     * Reads how many requests a second a worker takes from all processes together.
     *
     * @param headers the answer's
     * @return the rate, not negative; empty if the worker names none
     */
    OptionalDouble requestLimitPerSecond(HttpHeaders headers);

    /**
     * The header that names the last event a client has.
     *
     * @return its name
     */
    String lastEventIdHeader();
}
