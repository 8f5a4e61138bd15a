package org.dotterelcourse.coordination.configuration;

import java.net.InetSocketAddress;
import java.util.List;

/** An input of a {@link ConfigurationRelay}. */
public sealed interface RelayEvent {

    /** A periodic timer event, on which timeouts and pending announcements are checked. */
    record Tick() implements RelayEvent {}

    /**
     * The set of reachable peers or the role of this process changed.
     *
     * @param peers the other members that are alive or leaving
     * @param reader whether this process is one of the readers of its data centre
     */
    record PeersChanged(List<RelayPeer> peers, boolean reader) implements RelayEvent {}

    /**
     * The membership reported the position of a peer.
     *
     * @param peer the peer's name
     * @param position number of the last entry that the peer accepted or refused, 0 before the first
     * @param digest digest of the content in force at the peer, 0 if none
     */
    record PeerHead(String peer, long position, long digest) implements RelayEvent {}

    /**
     * A message arrived from a peer.
     *
     * @param peer the sender's name
     * @param from the sender's IP address and peer port
     * @param message the message
     */
    record Received(String peer, InetSocketAddress from, ConfigurationMessage message) implements RelayEvent {}

    /**
     * A {@link RelayEffect.FetchHead} or {@link RelayEffect.Watch} succeeded.
     *
     * @param head number of the service's newest entry
     */
    record HeadRead(long head) implements RelayEvent {}

    /** A {@link RelayEffect.Watch} ended without a new entry. */
    record WatchEnded() implements RelayEvent {}

    /**
     * A {@link RelayEffect.Fetch} or {@link RelayEffect.FetchWhole} succeeded.
     *
     * @param entry the entry read from the service
     */
    record EntryRead(Entry entry) implements RelayEvent {}

    /** The service does not have the requested entry. */
    record EntryMissing() implements RelayEvent {}

    /**
     * A read of the service failed.
     *
     * @param retryAfterNanos minimum wait in nanoseconds that the service asked for, 0 if none
     */
    record ReadFailed(long retryAfterNanos) implements RelayEvent {}
}
