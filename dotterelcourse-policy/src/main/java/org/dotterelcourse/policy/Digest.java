package org.dotterelcourse.policy;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;

/**
 * A digest of several fields (SHA-256, cut to 64 bits). Cryptographic, so that no client can choose its fields to get the
 * digest of another client's.
 */
public final class Digest {
    private final MessageDigest digest;

    /** Creates a digest of no fields. */
    public Digest() {
        try {
            digest = MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("SHA-256 is not available, but every Java platform must support it", e);
        }
    }

    /**
     * Adds a field. It is prefixed with its length, so that moving bytes from one field to the next changes the digest.
     *
     * @param field the bytes
     * @return this digest
     */
    public Digest add(byte[] field) {
        digest.update(ByteBuffer.allocate(Integer.BYTES).putInt(0, field.length));
        digest.update(field);
        return this;
    }

    /**
     * Adds a field.
     *
     * @param field the text, digested as UTF-8
     * @return this digest
     */
    public Digest add(String field) {
        return add(field.getBytes(StandardCharsets.UTF_8));
    }

    /**
     * Returns the digest. Must be called once only.
     *
     * @return its first 64 bits
     */
    public long value() {
        return ByteBuffer.wrap(digest.digest()).getLong();
    }
}
