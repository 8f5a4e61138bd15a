package org.dotterelcourse.coordination.configuration;

import com.dynatrace.hash4j.hashing.Hashing;

/**
 * The content in force: the result of folding all accepted entries.
 *
 * @param number number of the last accepted entry
 * @param bytes the folded document; must not be modified
 * @param digest 64-bit hash (komihash) of number and bytes
 */
public record Content(long number, byte[] bytes, long digest) {

    /**
     * Creates a content and computes its digest.
     *
     * @param number number of the last accepted entry
     * @param bytes the folded document; must not be modified afterwards
     * @return the content
     */
    public static Content of(long number, byte[] bytes) {
        long digest = Hashing.komihash5_0()
                .hashStream()
                .putLong(number)
                .putBytes(bytes)
                .getAsLong();
        return new Content(number, bytes, digest);
    }
}
