package org.dotterelcourse.policy.quarantine;

import org.dotterelcourse.policy.Digest;

/**
 * Identifies a request by its content, so that a request that a client sends again is recognized although its id, its
 * deadline and the process that receives it differ. Uses a cryptographic digest (SHA-256), so that no client can
 * construct a request with the fingerprint of another client's.
 *
 * @param value the first 64 bits of the digest
 */
public record Fingerprint(long value) {
    /**
     * Computes the fingerprint of a request.
     *
     * @param customer the name of the customer that sent the request, empty if there is none
     * @param method the HTTP method
     * @param uri path and query as sent by the client
     * @param body the complete body
     * @return the fingerprint, equal for requests that have all of these in common
     */
    public static Fingerprint of(String customer, String method, String uri, byte[] body) {
        return new Fingerprint(
                new Digest().add(customer).add(method).add(uri).add(body).value());
    }

    /**
     * Computes the fingerprint of a part that prompts may have in common.
     *
     * @param upstream the name of the upstream that reads the prompt
     * @param part the id of the part
     * @return the fingerprint, equal for equal parts of whatever requests to the upstream
     */
    public static Fingerprint ofPromptPart(String upstream, String part) {
        return new Fingerprint(
                new Digest().add("part of a prompt").add(upstream).add(part).value());
    }

    @Override
    public String toString() {
        return Long.toHexString(value);
    }
}
