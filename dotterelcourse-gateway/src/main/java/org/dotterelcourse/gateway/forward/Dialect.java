package org.dotterelcourse.gateway.forward;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

import io.netty.handler.codec.http.HttpHeaders;
import org.dotterelcourse.policy.selection.LatencyClass;
import org.dotterelcourse.policy.selection.Prompt;

/** Reads and writes the platform-specific HTTP headers of clients and workers. */
public interface Dialect {
    /**
     * Returns the id of the request.
     *
     * @param headers the headers of a request or a response
     * @return the id, or an empty string if there is none
     */
    String requestId(HttpHeaders headers);

    /**
     * Returns all ids of requests that a message states.
     *
     * @param headers the headers of a request or a response
     * @return the values in their order; one if the message is valid
     */
    List<String> requestIds(HttpHeaders headers);

    /**
     * Returns the ids of the requests whose streams a request resumes.
     *
     * @param headers the headers of the client's request
     * @return the distinct ids, without empty ones; more than one if the client contradicts itself
     */
    List<String> resumedRequestIds(HttpHeaders headers);

    /**
     * Returns how long the client waits for the response.
     *
     * @param headers the headers of the client's request
     * @return the time in milliseconds from now; empty if the header is missing or not a number
     */
    OptionalLong clientTimeoutMillis(HttpHeaders headers);

    /**
     * Returns the API key of the client.
     *
     * @param headers the headers of the client's request
     * @return the key, or an empty string if there is none
     */
    String apiKey(HttpHeaders headers);

    /**
     * Returns the description of the prompt: its parts, its size and the maximum output.
     *
     * @param headers the headers of the client's request
     * @param latencyClass the latency class of the request's route, which becomes part of the result
     * @return the prompt; empty if the headers have no valid description
     */
    Optional<Prompt> prompt(HttpHeaders headers, LatencyClass latencyClass);

    /**
     * Returns whether only the router may set a header. Such headers are removed from clients' requests.
     *
     * @param name the header's name in lower case
     * @return true if a client's header of this name must not be forwarded
     */
    boolean isReserved(String name);

    /**
     * Adds the router's headers to a request to a worker.
     *
     * @param headers the headers of the request to the worker, which are changed
     * @param info the values to add
     */
    void addWorkerHeaders(HttpHeaders headers, WorkerRequestInfo info);

    /**
     * Values that the router sends to a worker with a request.
     *
     * @param workerId the id of the worker that the request is for
     * @param customer the name of the customer that sent the request, or empty if it is anonymous
     * @param remainingMillis the time in milliseconds until the request's deadline
     * @param priority the priority of the request, 0 being the highest
     * @param isEngine whether the worker is a model engine
     * @param fetchFrom the address of the engine from which to fetch cached parts of the prompt, or empty if none
     */
    record WorkerRequestInfo(
            String workerId, String customer, long remainingMillis, int priority, boolean isEngine, String fetchFrom) {}

    /**
     * Returns whether a response has the stamp that workers add to theirs. A response without it was not sent by a
     * worker.
     *
     * @param headers the response headers
     * @return true if the stamp is present
     */
    default boolean hasWorkerStamp(HttpHeaders headers) {
        return workerStampCount(headers) > 0;
    }

    /**
     * Returns how many stamps a response has that workers add to theirs.
     *
     * @param headers the response headers
     * @return the number, 1 if the response is a worker's
     */
    int workerStampCount(HttpHeaders headers);

    /**
     * Returns whether a worker's response states that the request was not executed and will not be.
     *
     * @param status the HTTP status code of the response
     * @param headers the response headers
     * @return true only if the response states so explicitly
     */
    boolean isNotExecuted(int status, HttpHeaders headers);

    /**
     * Returns what a worker states about itself in a response.
     *
     * @param status the HTTP status code of the response
     * @param headers the response headers
     * @return the statement, with the values that are ignored because they are not valid in such a response
     */
    WorkerStatement workerStatement(int status, HttpHeaders headers);

    /**
     * Returns the header by which a request resumes a stream after the last event received.
     *
     * @return the name of the header, whose value is the event's id
     */
    String lastEventIdHeader();
}
