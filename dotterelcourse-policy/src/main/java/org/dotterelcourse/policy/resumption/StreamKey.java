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
}
