package org.dotterelcourse.policy.resumption;

import org.dotterelcourse.policy.Digest;

/**
 * Identifies a stream in messages between processes. Contains the customer and the upstream, so that a request id of
 * another customer's stream, or of a stream at another upstream, identifies nothing. Uses a cryptographic digest (SHA-256),
 * so that no client can choose an id with the key of another customer's stream.
 *
 * @param value the first 64 bits of the digest
 */
public record StreamKey(long value) {
    /** The key of no stream. */
    public static final StreamKey NONE = new StreamKey(0);

    /**
     * Computes the key of a stream.
     *
     * @param customer the name of the customer that sent the request, empty if there is none
     * @param upstream the name of the upstream whose worker sends the events
     * @param requestId the id of the request in whose response the stream began
     * @return the key, equal for streams that have all of these in common
     */
    public static StreamKey of(String customer, String upstream, String requestId) {
        return new StreamKey(
                new Digest().add(customer).add(upstream).add(requestId).value());
    }

    /**
     * Computes the key of a part of a prompt that belongs to one request alone. Workers keep parts under their ids whatever
     * the customer is.
     *
     * @param upstream the name of the upstream whose workers keep the part
     * @param part the id of the part
     * @return the key, different from that of any stream
     */
    public static StreamKey ofPart(String upstream, String part) {
        return new StreamKey(
                new Digest().add("part").add(upstream).add(part).add("").value());
    }
}
