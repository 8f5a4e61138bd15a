package org.dotterelcourse.coordination.membership;

import java.net.InetSocketAddress;
import java.util.List;

/** What a {@link Membership} reacts to. */
public sealed interface MembershipEvent {

    /** Time has passed. Must come at least every {@link MembershipSettings#tickNanos()}. */
    record Tick() implements MembershipEvent {}

    /**
     * A message has arrived.
     *
     * @param from the sender's peer port
     * @param path how it came
     * @param message the decoded message
     */
    record Received(InetSocketAddress from, Path path, MembershipMessage message) implements MembershipEvent {}

    /**
     * The platform's list of VMs was read. It lags: it gives seeds, and a suspect that it no longer has is given up
     * sooner; it never makes a member alive or dead by itself.
     *
     * @param vms the daemons' VMs on the list, without this process's own
     */
    record VmListReceived(List<ListedVm> vms) implements MembershipEvent {}

    /**
     * What this process tells about itself has changed.
     *
     * @param payload the new payload
     */
    record PayloadChanged(Payload payload) implements MembershipEvent {}

    /** This process starts to shut down. */
    record Leave() implements MembershipEvent {}

    /** This process ends now; the machine sends a last message and is silent from then on. */
    record Shutdown() implements MembershipEvent {}
}
