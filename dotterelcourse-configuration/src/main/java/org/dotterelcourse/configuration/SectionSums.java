package org.dotterelcourse.configuration;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.Comparator;
import java.util.List;
import java.util.function.Function;

/**
 * The SHA-256 sums of the canonical texts of a list of records, one after the other. They are kept, so that a change of
 * one record doesn't make the texts of all others be written and summed again.
 *
 * @param <T> the records
 */
final class SectionSums<T> {
    private static final int SUM_BYTES = 32;

    private final List<T> records;
    private final byte[] sums;

    private SectionSums(List<T> records, byte[] sums) {
        this.records = records;
        this.sums = sums;
    }

    /**
     * Sums a list of records.
     *
     * @param records the records, sorted by {@code name}
     * @param known sums of an earlier list in the same order, from which those of equal records are taken, or null
     * @param name a record's name
     * @param text a record's canonical text
     * @param <T> the records' type
     * @return the sums
     */
    static <T> SectionSums<T> of(
            List<T> records, SectionSums<T> known, Function<T, String> name, Function<T, String> text) {
        MessageDigest digest = ConfigurationText.newDigest();
        byte[] sums = new byte[records.size() * SUM_BYTES];
        Comparator<T> order = Comparator.comparing(name);
        int at = 0;
        for (int i = 0; i < records.size(); i++) {
            T each = records.get(i);
            while (known != null && at < known.records.size() && order.compare(known.records.get(at), each) < 0) {
                at++;
            }
            if (known != null
                    && at < known.records.size()
                    && known.records.get(at).equals(each)) {
                System.arraycopy(known.sums, at * SUM_BYTES, sums, i * SUM_BYTES, SUM_BYTES);
            } else {
                byte[] sum = digest.digest(text.apply(each).getBytes(StandardCharsets.UTF_8));
                System.arraycopy(sum, 0, sums, i * SUM_BYTES, SUM_BYTES);
            }
        }
        return new SectionSums<>(records, sums);
    }

    /**
     * Adds the sums to a digest.
     *
     * @param digest the digest
     */
    void addTo(MessageDigest digest) {
        digest.update(sums);
    }
}
