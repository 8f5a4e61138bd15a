package org.dotterelcourse.configuration;

import java.util.List;
import java.util.function.BiConsumer;

/**
 * Maps one kind of section in a configuration document to and from its record.
 *
 * @param <T> the type of the record
 */
interface SectionKind<T> {
    /**
     * Returns the first word of the section's header.
     *
     * @return the name of the kind, for example {@code class}
     */
    String kindName();

    /**
     * Returns the keys that the section may contain.
     *
     * @return the keys in canonical order
     */
    List<String> keys();

    /**
     * Reads a record from a section. If the reader is not valid afterwards, the result must not be used.
     *
     * @param in the reader of the section
     * @return the record
     */
    T read(SectionReader in);

    /**
     * Writes the keys and values of a record.
     *
     * @param value the record to write
     * @param entries receives each key and value in the order of {@link #keys()}, without keys that have no value
     */
    void write(T value, BiConsumer<String, String> entries);

    /**
     * Returns the name of the record in its section's header.
     *
     * @param value the record
     * @return the name
     */
    String name(T value);
}
