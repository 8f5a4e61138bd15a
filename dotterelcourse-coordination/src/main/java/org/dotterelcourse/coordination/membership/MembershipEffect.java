package org.dotterelcourse.coordination.membership;

import java.net.InetSocketAddress;

import org.dotterelcourse.coordination.MemberId;

/** What a {@link Membership} wants done, or tells. */
public sealed interface MembershipEffect {

    /**
     * Send a message.
     *
     * @param to the receiver's peer port
     * @param path how to send it
     * @param message the message
     */
    record Send(InetSocketAddress to, Path path, MembershipMessage message) implements MembershipEffect {}

    /**
     * A member joined or changed its state, incarnation, address or payload; also this process when it leaves.
     *
     * @param member the member as seen from now on
     * @param payloadOnly whether nothing but the payload changed, which happens often
     */
    record MemberChanged(Member member, boolean payloadOnly) implements MembershipEffect {}

    /**
     * A member that has long been dead is no longer remembered.
     *
     * @param member as it was last seen
     */
    record Forgotten(Member member) implements MembershipEffect {}

    /**
     * This process has a new incarnation: it was suspected falsely, or an earlier process of the same VM used a higher
     * one. Envelopes must carry it.
     *
     * @param id the name with the new incarnation
     */
    record Reincarnated(MemberId id) implements MembershipEffect {}

    /**
     * Another process has taken this one's name with a higher incarnation: this VM has been replaced while this process
     * was paused or cut off. The machine is silent from now on; the process should end.
     *
     * @param successor the one that has the name now
     */
    record Superseded(MemberId successor) implements MembershipEffect {}

    /**
     * This process has been paused; what it believed before may be wrong. Judgement of others starts afresh.
     *
     * @param gapNanos time without any event
     */
    record PauseDetected(long gapNanos) implements MembershipEffect {}
}
