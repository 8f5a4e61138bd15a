package org.dotterelcourse.policy.quarantine;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;

/**
 * What stays the same when a client sends a request again, while its id, its time limit and the process that takes it
 * change. It is cut from a cryptographic digest (SHA-256), so that no client can make one that equals another's.
 *
 * @param value the digest's first 64 bits
 */
public record Fingerprint(long value) {
    /**
     * Computes a request's fingerprint.
     *
     * @param customer whose request it is, empty if nobody's
     * @param method its HTTP method
     * @param uri path and query as the client sent them
     * @param body its whole body
     * @return equal for requests that have all of these in common
     */
    public static Fingerprint of(String customer, String method, String uri, byte[] body) {
        MessageDigest digest = sha256();
        update(digest, customer.getBytes(StandardCharsets.UTF_8));
        update(digest, method.getBytes(StandardCharsets.UTF_8));
        update(digest, uri.getBytes(StandardCharsets.UTF_8));
        update(digest, body);
        return new Fingerprint(ByteBuffer.wrap(digest.digest()).getLong());
    }

    /** The length goes first, so that bytes moved from one part to the next give another digest. */
    private static void update(MessageDigest digest, byte[] part) {
        digest.update(ByteBuffer.allocate(Integer.BYTES).putInt(0, part.length));
        digest.update(part);
    }

    private static MessageDigest sha256() {
        try {
            return MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("each Java platform has SHA-256", e);
        }
    }

    @Override
    public String toString() {
        return Long.toHexString(value);
    }
}
