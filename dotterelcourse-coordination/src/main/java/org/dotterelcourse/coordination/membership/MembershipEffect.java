package org.dotterelcourse.coordination.membership;

import java.net.InetSocketAddress;

import org.dotterelcourse.coordination.MemberId;

/** An action requested by a {@link Membership}, or a change that it reports. */
public sealed interface MembershipEffect {

    /**
     * A message is to be sent.
     *
     * @param to the receiver's IP address and peer port
     * @param mode how to send it
     * @param message the message
     */
    record Send(InetSocketAddress to, DeliveryMode mode, MembershipMessage message) implements MembershipEffect {}

    /**
     * A member joined, or its state, incarnation, address or payload changed. Also reported for this process when it
     * leaves.
     *
     * @param member the member after the change
     * @param payloadOnly whether only the payload changed, which happens often
     */
    record MemberChanged(Member member, boolean payloadOnly) implements MembershipEffect {}

    /**
     * A dead member was removed after its retention period.
     *
     * @param member the member in its last state
     */
    record MemberEvicted(Member member) implements MembershipEffect {}

    /**
     * This process raised its incarnation, because it was suspected falsely or because an earlier process of the same VM
     * used a higher one. The transport must put the new incarnation into the envelopes of further messages.
     *
     * @param id the name of this process with its new incarnation
     */
    record IncarnationRaised(MemberId id) implements MembershipEffect {}

    /**
     * Another process uses the name of this one with a higher incarnation: this VM was replaced while the process was
     * paused or partitioned. The membership sends nothing from now on, and the process should exit.
     *
     * @param successor the process that uses the name now
     */
    record Superseded(MemberId successor) implements MembershipEffect {}

    /**
     * This process was paused, so its view of the other members may be outdated. Running probes are cancelled and
     * suspicion timeouts restart.
     *
     * @param gapNanos time without any event, in nanoseconds
     */
    record PauseDetected(long gapNanos) implements MembershipEffect {}
}
