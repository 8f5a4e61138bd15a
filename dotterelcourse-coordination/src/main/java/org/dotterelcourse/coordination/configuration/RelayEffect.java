package org.dotterelcourse.coordination.configuration;

import java.net.InetSocketAddress;
import java.util.List;

/** What a {@link ConfigurationRelay} wants done, or tells. One read at most is under way at a time. */
public sealed interface RelayEffect {

    /**
     * Watch the service until its head is above a number.
     *
     * @param after the number
     */
    record Watch(long after) implements RelayEffect {}

    /** Read the service's head. */
    record FetchHead() implements RelayEffect {}

    /**
     * Read an entry.
     *
     * @param number the entry's number
     */
    record Fetch(long number) implements RelayEffect {}

    /** Read the newest whole document. */
    record FetchWhole() implements RelayEffect {}

    /**
     * Send a message.
     *
     * @param to the peer's port
     * @param message the message
     */
    record SendTo(InetSocketAddress to, ConfigurationMessage message) implements RelayEffect {}

    /**
     * A content is in force from now on. Its number is never below that of the one before.
     *
     * @param content number and document
     */
    record InForce(Content content) implements RelayEffect {}

    /**
     * The position has moved; membership's payload must carry it.
     *
     * @param position the last decided entry
     * @param digest of what is in force
     */
    record PositionAdvanced(long position, long digest) implements RelayEffect {}

    /**
     * An entry was refused.
     *
     * @param number the entry's number
     * @param findings what is wrong with it
     */
    record Refused(long number, List<String> findings) implements RelayEffect {}

    /**
     * Something that an operator must look at.
     *
     * @param alarm what it is
     */
    record AlarmRaised(RelayAlarm alarm) implements RelayEffect {}
}
