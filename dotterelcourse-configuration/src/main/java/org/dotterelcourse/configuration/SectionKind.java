package org.dotterelcourse.configuration;

import java.util.List;
import java.util.function.BiConsumer;

/**
 * One kind of section in a configuration document: how its record is read and written.
 *
 * @param <T> the record
 */
interface SectionKind<T> {
    /**
     * The word that starts the section's header.
     *
     * @return the kind's word
     */
    String word();

    /**
     * The keys that the section may have.
     *
     * @return the keys, in the order in which they are written
     */
    List<String> keys();

    /**
     * Reads a section. If the reader is not sound afterwards, the result must not be used.
     *
     * @param in the section
     * @return the record
     */
    T read(SectionReader in);

    /**
     * Writes a record.
     *
     * @param value the record
     * @param entries takes its keys and values in the order of {@link #keys()}, without keys that have no value
     */
    void write(T value, BiConsumer<String, String> entries);

    /**
     * The name that the record has in its section's header.
     *
     * @param value the record
     * @return the name
     */
    String name(T value);
}
