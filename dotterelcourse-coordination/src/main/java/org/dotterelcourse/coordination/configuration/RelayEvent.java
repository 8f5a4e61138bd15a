package org.dotterelcourse.coordination.configuration;

import java.net.InetSocketAddress;
import java.util.List;

/** What a {@link ConfigurationRelay} reacts to. */
public sealed interface RelayEvent {

    /** Time has passed. */
    record Tick() implements RelayEvent {}

    /**
     * The fleet has changed.
     *
     * @param peers the others that are neither dead nor suspect
     * @param reader whether this process is one of its data centre's readers
     */
    record Roster(List<RelayPeer> peers, boolean reader) implements RelayEvent {}

    /**
     * Membership's messages told how far a peer is.
     *
     * @param peer the peer's name
     * @param position its last decided entry
     * @param digest of what it has in force
     */
    record PeerHead(String peer, long position, long digest) implements RelayEvent {}

    /**
     * A message has arrived.
     *
     * @param peer the sender's name
     * @param from its peer port
     * @param message the message
     */
    record Received(String peer, InetSocketAddress from, ConfigurationMessage message) implements RelayEvent {}

    /**
     * The service told its head, in answer to a head read or a watch.
     *
     * @param head its newest entry
     */
    record HeadRead(long head) implements RelayEvent {}

    /** A watch ended without news. */
    record WatchEnded() implements RelayEvent {}

    /**
     * The service gave an entry, in answer to a read of one or of the newest whole document.
     *
     * @param entry the entry
     */
    record EntryRead(Entry entry) implements RelayEvent {}

    /** The service has no such entry. */
    record EntryMissing() implements RelayEvent {}

    /**
     * A read failed.
     *
     * @param retryAfterNanos when the service said how long to wait, else 0
     */
    record ReadFailed(long retryAfterNanos) implements RelayEvent {}
}
