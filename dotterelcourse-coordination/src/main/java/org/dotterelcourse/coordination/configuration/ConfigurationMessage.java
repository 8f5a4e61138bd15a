package org.dotterelcourse.coordination.configuration;

import java.util.List;

/** A message between two relays. */
public sealed interface ConfigurationMessage {

    /**
     * How far the sender is.
     *
     * @param position its last decided entry
     * @param digest of what it has in force
     */
    record Head(long position, long digest) implements ConfigurationMessage {}

    /**
     * Asks for what follows.
     *
     * @param after the sender's position
     */
    record Pull(long after) implements ConfigurationMessage {}

    /**
     * Published entries in order.
     *
     * @param entries without a gap
     */
    record Entries(List<Entry> entries) implements ConfigurationMessage {}

    /**
     * What the sender has in force.
     *
     * @param position its last decided entry
     * @param number the number in force
     * @param bytes the folded document
     */
    record Snapshot(long position, long number, byte[] bytes) implements ConfigurationMessage {}
}
