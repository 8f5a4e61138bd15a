package org.dotterelcourse.coordination.membership;

import java.net.InetSocketAddress;
import java.util.List;

/**
 * A message between two members.
 *
 * @param body the request or response
 * @param self the sender's update about itself
 * @param updates updates about other members, piggybacked on this message
 */
public record MembershipMessage(Body body, Update self, List<Update> updates) {

    /** The request or response in a message. */
    public sealed interface Body permits Ping, Ack, PingRequest, Sync, Table, Gossip {}

    /**
     * Requests an {@link Ack} from the receiver.
     *
     * @param sequence identifies the ping; returned with the ack
     * @param target name of the member that the ping is meant for
     */
    public record Ping(long sequence, String target) implements Body {}

    /**
     * Answers a {@link Ping}.
     *
     * @param sequence the sequence number of the ping
     * @param wrongTarget whether the process at this address is a different member than the ping's target
     */
    public record Ack(long sequence, boolean wrongTarget) implements Body {}

    /**
     * Requests the receiver to ping a third member and to forward its answer (SWIM's indirect probe).
     *
     * @param sequence identifies the request; returned with the forwarded ack
     * @param target name of the third member
     * @param address IP address and peer port of the third member
     */
    public record PingRequest(long sequence, String target, InetSocketAddress address) implements Body {}

    /**
     * Compares membership tables. A receiver with a different digest responds with its {@link Table}.
     *
     * @param digest digest of the names and incarnations of all members that are not dead
     */
    public record Sync(long digest) implements Body {}

    /**
     * Carries the sender's whole membership table in the message's updates.
     *
     * @param replyWanted whether the receiver is to send its own table back
     */
    public record Table(boolean replyWanted) implements Body {}

    /** Carries only the updates. */
    public record Gossip() implements Body {}
}
