package org.dotterelcourse.gateway.forward;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import org.dotterelcourse.gateway.routing.Route;
import org.dotterelcourse.gateway.routing.UpstreamSpec;
import org.dotterelcourse.gateway.workers.WorkerEntry;
import org.dotterelcourse.policy.quarantine.Fingerprint;
import org.dotterelcourse.policy.selection.Prompt;

/** An admitted request with the state of its attempts. Not thread-safe. */
public final class Call {
    private static final long NANOS_PER_MILLI = 1_000_000L;

    private Attributes attributes;
    private final HttpMethod method;
    private final String uri;
    private final HttpHeaders headers;
    private final byte[] body;
    private final Set<String> triedWorkers = new HashSet<>();
    private int sendCount;
    private int connectFailureCount;
    private boolean isPossiblyExecuted;
    private final EventProgress events;
    private final VersionBinding versions = new VersionBinding();
    private Fingerprint fingerprint;
    private List<Fingerprint> sharedParts;
    private boolean isSuspect;
    private long sentNanos;
    private long firstSendMillis;
    private String lastWorkerId = "";
    private final Set<String> failedPeers = new HashSet<>();
    private boolean isForPeer;
    private boolean wasPlaced;
    private String relayPeer = "";
    private long retryAfterMillis;
    private int slotRejections;
    private final ResponseHolds holds = new ResponseHolds();

    /**
     * Properties of a request that are determined at its admission.
     *
     * @param id the id of the request
     * @param route the route that matches the request
     * @param upstream the upstream that serves the request
     * @param customer the name of the customer that sent the request, or empty if it is anonymous
     * @param priority the priority of the request, 0 being the highest
     * @param prompt the prompt, or empty if the upstream has no engines or the request does not describe its prompt
     * @param arrivalNanos the monotonic time of the request's arrival in nanoseconds
     * @param deadlineNanos the monotonic time in nanoseconds by which the request must have its final response
     * @param resumes id of the request in whose response the stream began that this request resumes, or empty if the client
     *     does not name it; absent unless the request resumes a stream
     */
    public record Attributes(
            String id,
            Route route,
            UpstreamSpec upstream,
            String customer,
            int priority,
            Optional<Prompt> prompt,
            long arrivalNanos,
            long deadlineNanos,
            Optional<String> resumes) {}

    /**
     * Creates a call without any attempts.
     *
     * @param attributes the properties determined at admission
     * @param method the HTTP method
     * @param uri the path and query as sent by the client
     * @param headers the client's headers that are to be forwarded
     * @param body the complete request body
     */
    public Call(Attributes attributes, HttpMethod method, String uri, HttpHeaders headers, byte[] body) {
        this.attributes = attributes;
        this.method = method;
        this.uri = uri;
        this.headers = headers;
        this.body = body;
        this.events = new EventProgress(attributes.arrivalNanos());
    }

    /**
     * Returns the properties determined at admission.
     *
     * @return the attributes, of which only the latency class of the prompt may change before the first attempt
     */
    public Attributes attributes() {
        return attributes;
    }

    /** Replaces the prompt by one of another latency class, before the first attempt. */
    void replacePrompt(Prompt prompt) {
        attributes = new Attributes(
                attributes.id(),
                attributes.route(),
                attributes.upstream(),
                attributes.customer(),
                attributes.priority(),
                Optional.of(prompt),
                attributes.arrivalNanos(),
                attributes.deadlineNanos(),
                attributes.resumes());
    }

    /** @return the responses that are held until the request is answered; whoever answers it closes them */
    public ResponseHolds holds() {
        return holds;
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

    long remainingMillis(long nowNanos) {
        return (attributes.deadlineNanos() - nowNanos) / NANOS_PER_MILLI;
    }

    Set<String> triedWorkers() {
        return triedWorkers;
    }

    /** Returns the software version that workers must have. */
    VersionBinding versions() {
        return versions;
    }

    /** Records that the request is about to be sent to a worker. */
    void recordSend(WorkerEntry worker, long nowNanos) {
        if (sentNanos == 0) {
            firstSendMillis = (nowNanos - attributes.arrivalNanos()) / NANOS_PER_MILLI;
        }
        sentNanos = nowNanos;
        events.beginAttempt();
        wasPlaced = true;
        triedWorkers.add(worker.id());
        lastWorkerId = worker.id();
        versions.beginAttempt(worker.version());
        sendCount++;
    }

    /**
     * Records what a peer has done with the request.
     *
     * @param workerId the worker that the peer has sent the request to last, or empty
     * @param sends number of workers that the peer has sent the request to
     */
    void recordRelayedSends(String workerId, int sends) {
        sendCount += sends;
        if (!workerId.isEmpty()) {
            triedWorkers.add(workerId);
            lastWorkerId = workerId;
        }
    }

    /** Records that the request is about to be relayed to a peer. */
    void recordRelay(String peer, long nowNanos) {
        if (sentNanos == 0) {
            firstSendMillis = (nowNanos - attributes.arrivalNanos()) / NANOS_PER_MILLI;
        }
        sentNanos = nowNanos;
        events.beginAttempt();
        relayPeer = peer;
    }

    /** Records when a peer has asked the client to retry. */
    void recordRelayRetryAfter(long millis) {
        retryAfterMillis = millis;
    }

    /** Returns after how many milliseconds the client should retry according to peers; 0 if none has told. */
    long retryAfterMillis() {
        return retryAfterMillis;
    }

    /** Returns the headers of the request to a worker. */
    HttpHeaders workerHeaders(Dialect dialect, String workerId, String fetchFrom, long nowNanos) {
        HttpHeaders toWorker = new DefaultHttpHeaders().add(headers);
        dialect.addWorkerHeaders(
                toWorker,
                new Dialect.WorkerRequestInfo(
                        workerId,
                        attributes.customer(),
                        Math.max(1, remainingMillis(nowNanos)),
                        attributes.priority(),
                        attributes.upstream().engine(),
                        fetchFrom));
        if (!events.lastId().isEmpty()) {
            toWorker.set(dialect.lastEventIdHeader(), events.lastId());
        }
        return toWorker;
    }

    /**
     * Continues the attempts of a peer, for whose client the request is sent.
     *
     * @param excludedWorkers ids of workers that must not get the request
     * @param retried whether a worker has had the request before
     * @param resumeAfterEventId id of the last event that the client has got, or empty
     */
    public void continueForPeer(List<String> excludedWorkers, boolean retried, String resumeAfterEventId) {
        isForPeer = true;
        wasPlaced = retried;
        triedWorkers.addAll(excludedWorkers);
        events.continueAfter(resumeAfterEventId);
    }

    /**
     * Requires workers of a software version, because the client has got earlier events of the stream from one.
     *
     * @param version the version
     */
    public void requireVersion(String version) {
        versions.bind(version);
    }

    /** Returns whether the request is one of a peer's client. Such a request is not relayed to another peer. */
    boolean isForPeer() {
        return isForPeer;
    }

    /** Returns whether a worker was selected for the request before, by this process or by the peer that has it. */
    boolean wasPlaced() {
        return wasPlaced;
    }

    /** Records that the peer to which the request was relayed last has not reached a worker, or not answered. */
    void recordRelayFailure() {
        failedPeers.add(relayPeer);
    }

    /** Returns the peers that must not get the request again. */
    Set<String> failedPeers() {
        return failedPeers;
    }

    /**
     * Returns the peer that the request was last relayed to.
     *
     * @return the name of the peer, or empty if the request was not relayed
     */
    public String relayPeer() {
        return relayPeer;
    }

    /** Leaves a worker out of further attempts that has no room for the request. Nothing was sent, so it does not count. */
    void recordNoSlot(WorkerEntry worker, long millisUntilRoom) {
        triedWorkers.add(worker.id());
        slotRejections++;
        retryAfterMillis = Math.max(retryAfterMillis, millisUntilRoom);
    }

    /** Returns the number of workers that had no slot for the request. */
    int slotRejections() {
        return slotRejections;
    }

    /** Records that the worker was not reached. It received nothing, so the send does not count. */
    void recordConnectFailure() {
        sendCount--;
        connectFailureCount++;
    }

    /**
     * Returns the number of workers that the request was sent to.
     *
     * @return the number of sends, without workers that could not be reached
     */
    public int sendCount() {
        return sendCount;
    }

    /** Records that a worker may have executed the request. */
    void markPossiblyExecuted() {
        isPossiblyExecuted = true;
    }

    /** Returns whether a worker may have executed the request. If so, no reply may state the opposite. */
    boolean isPossiblyExecuted() {
        return isPossiblyExecuted;
    }

    int connectFailureCount() {
        return connectFailureCount;
    }

    /** Returns the progress of the stream. */
    EventProgress events() {
        return events;
    }

    /** Returns the time in milliseconds since the request was last sent to a worker. */
    double millisSinceSend(long nowNanos) {
        return (nowNanos - sentNanos) / (double) NANOS_PER_MILLI;
    }

    /**
     * Returns the fingerprint, which is the same for all retries of a request.
     *
     * @return the fingerprint, computed at the first call
     */
    Fingerprint fingerprint() {
        if (fingerprint == null) {
            fingerprint = Fingerprint.of(attributes.customer(), method.name(), uri, body);
        }
        return fingerprint;
    }

    /**
     * Returns the fingerprints of the parts of the prompt that other requests may have too.
     *
     * @return the fingerprints, computed at the first call; empty without a prompt
     */
    List<Fingerprint> sharedParts() {
        if (sharedParts == null) {
            String upstream = attributes.upstream().name();
            sharedParts = attributes.prompt().map(Prompt::sharedParts).orElse(List.of()).stream()
                    .map(part -> Fingerprint.ofPromptPart(upstream, part.id()))
                    .distinct()
                    .toList();
        }
        return sharedParts;
    }

    /**
     * Sets whether a worker crashed while it ran this request or one with the same fingerprint. If so, the request
     * should not run on the same worker as another suspect.
     */
    void setSuspect(boolean value) {
        isSuspect = value;
    }

    boolean isSuspect() {
        return isSuspect;
    }

    /**
     * Returns the time from the request's arrival until it was first sent to a worker.
     *
     * @return the time in milliseconds; 0 if the request was not sent
     */
    public long firstSendMillis() {
        return firstSendMillis;
    }

    /**
     * Returns the time from the request's arrival to its first event.
     *
     * @return the time in milliseconds; 0 if there was no event
     */
    public long firstEventMillis() {
        return events.firstMillis();
    }

    /**
     * Returns the longest time between two consecutive events.
     *
     * @return the time in milliseconds; 0 before the second event
     */
    public long longestEventGapMillis() {
        return events.longestGapMillis();
    }

    /**
     * Returns the worker that the request was last sent to.
     *
     * @return the id of the worker, or empty if the request was not sent
     */
    public String lastWorkerId() {
        return lastWorkerId;
    }

    /**
     * Returns the software version of the worker that the request was last sent to.
     *
     * @return the version, or empty if it is unknown or the request was not sent
     */
    public String lastWorkerVersion() {
        return versions.attemptVersion();
    }
}
