package org.dotterelcourse.coordination.membership;

import java.net.InetSocketAddress;
import java.util.List;

/** An input of the {@link Membership} state machine. */
public sealed interface MembershipEvent {

    /** Time has passed. Must occur at least every {@link MembershipSettings#tickNanos()}. */
    record Tick() implements MembershipEvent {}

    /**
     * A message has arrived.
     *
     * @param from the sender's IP address and peer port
     * @param mode how the message was sent
     * @param message the decoded message
     */
    record Received(InetSocketAddress from, DeliveryMode mode, MembershipMessage message) implements MembershipEvent {}

    /**
     * The platform's list of VMs was read. As the list lags behind the fleet, it only provides seeds and shortens the
     * suspicion timeout of members that are missing from it; it never changes a member's state by itself.
     *
     * @param vms the VMs that run daemons, without the VM of this process
     */
    record VmListReceived(List<ListedVm> vms) implements MembershipEvent {}

    /**
     * The payload of this process has changed.
     *
     * @param payload the new payload
     */
    record PayloadChanged(Payload payload) implements MembershipEvent {}

    /** This process starts to shut down. */
    record Leave() implements MembershipEvent {}

    /** This process exits now. The membership announces it and sends nothing afterwards. */
    record Shutdown() implements MembershipEvent {}
}
