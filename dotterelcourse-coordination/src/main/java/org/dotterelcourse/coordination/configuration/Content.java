package org.dotterelcourse.coordination.configuration;

import com.dynatrace.hash4j.hashing.Hashing;

/**
 * What is in force: the result of folding all accepted entries.
 *
 * @param number the last accepted entry
 * @param bytes the folded document; not to be changed
 * @param digest over number and bytes
 */
public record Content(long number, byte[] bytes, long digest) {

    /**
     * Content with its digest worked out.
     *
     * @param number the last accepted entry
     * @param bytes the folded document
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
