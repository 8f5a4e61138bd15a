package org.dotterelcourse.coordination.configuration;

import java.net.InetSocketAddress;
import java.util.List;

/**
 * An action requested by a {@link ConfigurationRelay}, or a change that it reports. At most one read of the service is
 * in flight at a time.
 */
public sealed interface RelayEffect {

    /**
     * Watch the service until its newest entry is above a number, by a long poll.
     *
     * @param after the highest entry number that this process has
     */
    record Watch(long after) implements RelayEffect {}

    /** Read the number of the service's newest entry. */
    record FetchHead() implements RelayEffect {}

    /**
     * Read one entry from the service.
     *
     * @param number the entry's number
     */
    record Fetch(long number) implements RelayEffect {}

    /** Read the newest entry of the service that is a whole document. */
    record FetchWhole() implements RelayEffect {}

    /**
     * Send a message to a peer.
     *
     * @param to the peer's IP address and peer port
     * @param message the message
     */
    record SendTo(InetSocketAddress to, ConfigurationMessage message) implements RelayEffect {}

    /**
     * A content is in force from now on. Its number is never lower than that of the previous one.
     *
     * @param content the new content
     */
    record InForce(Content content) implements RelayEffect {}

    /**
     * The position or the digest changed; the payload of this process in the membership must be updated.
     *
     * @param position number of the last entry that was accepted or refused
     * @param digest digest of the content in force, 0 if none
     */
    record PositionAdvanced(long position, long digest) implements RelayEffect {}

    /**
     * An entry was refused.
     *
     * @param number the entry's number
     * @param findings the errors found in the entry
     */
    record Refused(long number, List<String> findings) implements RelayEffect {}

    /**
     * An inconsistency was found that an operator must investigate.
     *
     * @param alarm the inconsistency
     */
    record AlarmRaised(RelayAlarm alarm) implements RelayEffect {}
}
