package org.dotterelcourse.policy.resumption;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;

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
        MessageDigest digest = sha256();
        update(digest, customer);
        update(digest, upstream);
        update(digest, requestId);
        return new StreamKey(ByteBuffer.wrap(digest.digest()).getLong());
    }

    /** Prefixes the text with its length, so that moving characters from one text to the next changes the digest. */
    private static void update(MessageDigest digest, String text) {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        digest.update(ByteBuffer.allocate(Integer.BYTES).putInt(0, bytes.length));
        digest.update(bytes);
    }

    private static MessageDigest sha256() {
        try {
            return MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("SHA-256 is not available, but every Java platform must support it", e);
        }
    }
}
