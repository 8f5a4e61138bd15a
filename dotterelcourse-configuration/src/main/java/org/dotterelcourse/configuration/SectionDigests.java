package org.dotterelcourse.configuration;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.Comparator;
import java.util.List;
import java.util.function.Function;

/**
 * The SHA-256 digests of the canonical texts of a list of records. They are cached, so that a change of one record does
 * not require the others to be rendered and hashed again.
 *
 * @param <T> the type of the records
 */
final class SectionDigests<T> {
    private static final int DIGEST_BYTES = 32;

    private final List<T> records;
    private final byte[] digests;

    private SectionDigests(List<T> records, byte[] digests) {
        this.records = records;
        this.digests = digests;
    }

    /**
     * Computes the digests of a list of records.
     *
     * @param records the records, sorted by {@code name}
     * @param previous the digests of an earlier list in the same order, which are reused for equal records, or null
     * @param name extracts the name of a record
     * @param text renders the canonical text of a record
     * @param <T> the type of the records
     * @return the digests
     */
    static <T> SectionDigests<T> of(
            List<T> records, SectionDigests<T> previous, Function<T, String> name, Function<T, String> text) {
        MessageDigest digest = ConfigurationText.newDigest();
        byte[] digests = new byte[records.size() * DIGEST_BYTES];
        Comparator<T> byName = Comparator.comparing(name);
        int previousIndex = 0;
        for (int i = 0; i < records.size(); i++) {
            T each = records.get(i);
            while (previous != null
                    && previousIndex < previous.records.size()
                    && byName.compare(previous.records.get(previousIndex), each) < 0) {
                previousIndex++;
            }
            if (previous != null
                    && previousIndex < previous.records.size()
                    && previous.records.get(previousIndex).equals(each)) {
                System.arraycopy(
                        previous.digests, previousIndex * DIGEST_BYTES, digests, i * DIGEST_BYTES, DIGEST_BYTES);
            } else {
                byte[] recordDigest = digest.digest(text.apply(each).getBytes(StandardCharsets.UTF_8));
                System.arraycopy(recordDigest, 0, digests, i * DIGEST_BYTES, DIGEST_BYTES);
            }
        }
        return new SectionDigests<>(records, digests);
    }

    /**
     * Updates a digest with the digests of all records.
     *
     * @param digest the digest to update
     */
    void addTo(MessageDigest digest) {
        digest.update(digests);
    }
}
