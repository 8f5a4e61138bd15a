package org.dotterelcourse.coordination.membership;

import java.net.InetSocketAddress;
import java.util.List;

/**
 * A message between two members.
 *
 * @param body what the message asks or answers
 * @param self the sender about itself
 * @param updates statements that are passed on
 */
public record MembershipMessage(Body body, Update self, List<Update> updates) {

    /** What a message asks or answers. */
    public sealed interface Body permits Ping, Ack, PingRequest, Sync, Table, Gossip {}

    /**
     * Asks for an answer.
     *
     * @param sequence comes back with the answer
     * @param target the name of the member that is meant
     */
    public record Ping(long sequence, String target) implements Body {}

    /**
     * Answers a ping.
     *
     * @param sequence of the ping
     * @param notMe whether another member than the one that was meant has the address now
     */
    public record Ack(long sequence, boolean notMe) implements Body {}

    /**
     * Asks the receiver to ping a third member and to pass the answer on.
     *
     * @param sequence comes back with the answer
     * @param target the name of the third member
     * @param address its peer port
     */
    public record PingRequest(long sequence, String target, InetSocketAddress address) implements Body {}

    /**
     * Compares tables; a receiver with another digest answers with its table.
     *
     * @param digest over names and incarnations of those not dead
     */
    public record Sync(long digest) implements Body {}

    /**
     * Carries the sender's whole table in the updates.
     *
     * @param replyWanted whether the receiver is to send its own table back
     */
    public record Table(boolean replyWanted) implements Body {}

    /** Only carries statements. */
    public record Gossip() implements Body {}
}
