package org.dotterelcourse.coordination.configuration;

import java.util.List;

/** A message from one relay to another. */
public sealed interface ConfigurationMessage {

    /**
     * Announces the sender's position.
     *
     * @param position number of the last entry that the sender accepted or refused, 0 before the first
     * @param digest digest of the content in force at the sender, 0 if none
     */
    record Head(long position, long digest) implements ConfigurationMessage {}

    /**
     * Requests the entries after a position.
     *
     * @param after the sender's position, 0 before the first entry
     */
    record Pull(long after) implements ConfigurationMessage {}

    /**
     * Carries published entries, in reply to a {@link Pull}.
     *
     * @param entries entries in ascending order of their numbers, without gaps
     */
    record Entries(List<Entry> entries) implements ConfigurationMessage {}

    /**
     * Carries the content in force at the sender, in reply to a {@link Pull} that its entry log can't serve.
     *
     * @param position number of the last entry that the sender accepted or refused
     * @param number number of the last entry that the sender accepted
     * @param bytes the folded document
     */
    record Snapshot(long position, long number, byte[] bytes) implements ConfigurationMessage {}
}
