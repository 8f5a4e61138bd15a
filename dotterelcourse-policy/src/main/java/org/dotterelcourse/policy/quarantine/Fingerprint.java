package org.dotterelcourse.policy.quarantine;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;

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
        MessageDigest digest = sha256();
        update(digest, customer.getBytes(StandardCharsets.UTF_8));
        update(digest, method.getBytes(StandardCharsets.UTF_8));
        update(digest, uri.getBytes(StandardCharsets.UTF_8));
        update(digest, body);
        return new Fingerprint(ByteBuffer.wrap(digest.digest()).getLong());
    }

    /**
     * Computes the fingerprint of a part that prompts may have in common.
     *
     * @param upstream the name of the upstream that reads the prompt
     * @param part the id of the part
     * @return the fingerprint, equal for equal parts of whatever requests to the upstream
     */
    public static Fingerprint ofPromptPart(String upstream, String part) {
        MessageDigest digest = sha256();
        update(digest, "part of a prompt".getBytes(StandardCharsets.UTF_8));
        update(digest, upstream.getBytes(StandardCharsets.UTF_8));
        update(digest, part.getBytes(StandardCharsets.UTF_8));
        return new Fingerprint(ByteBuffer.wrap(digest.digest()).getLong());
    }

    /** Prefixes the part with its length, so that moving bytes from one part to the next changes the digest. */
    private static void update(MessageDigest digest, byte[] part) {
        digest.update(ByteBuffer.allocate(Integer.BYTES).putInt(0, part.length));
        digest.update(part);
    }

    private static MessageDigest sha256() {
        try {
            return MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("SHA-256 is not available, but every Java platform must support it", e);
        }
    }

    @Override
    public String toString() {
        return Long.toHexString(value);
    }
}
