package org.dotterelcourse.gateway.fleet;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

import org.dotterelcourse.coordination.membership.Member;
import org.dotterelcourse.coordination.membership.MemberState;
import org.dotterelcourse.daemon.kernel.Kernel;
import org.dotterelcourse.daemon.kernel.Service;
import org.dotterelcourse.daemon.kernel.ServiceName;
import org.dotterelcourse.daemon.kernel.StartupFailure;
import org.dotterelcourse.daemon.peers.Peers;
import org.dotterelcourse.gateway.GatewayState;
import org.dotterelcourse.gateway.edge.ClientHttpServer;
import org.dotterelcourse.gateway.edge.Shutdown;

/** Lists the addresses that clients may connect to, according to this process's view of the fleet. */
public final class ClientAddresses implements Service {
    /** Name of this service in the kernel. */
    public static final ServiceName<ClientAddresses> NAME =
            new ServiceName<>("client-addresses", ClientAddresses.class);

    private Peers peers;
    private Shutdown shutdown;
    private GatewayState state;

    @Override
    public ServiceName<ClientAddresses> name() {
        return NAME;
    }

    @Override
    public List<ServiceName<?>> dependencies() {
        return List.of(Peers.NAME, Shutdown.NAME, GatewayState.NAME, ClientHttpServer.NAME);
    }

    @Override
    public List<StartupFailure> start(Kernel kernel) {
        peers = kernel.find(Peers.NAME);
        shutdown = kernel.find(Shutdown.NAME);
        state = kernel.find(GatewayState.NAME);
        peers.publishCallersPort(kernel.find(ClientHttpServer.NAME).port());
        return List.of();
    }

    @Override
    public void stop() {
        // Holds no resources.
    }

    /**
     * Returns whether this process should receive requests.
     *
     * @return true from when it can serve requests until its shutdown begins
     */
    public boolean isSelfReady() {
        return state.isReady() && !shutdown.hasBegun();
    }

    /**
     * Returns the addresses of the processes that serve clients, in random order.
     *
     * @return IP addresses and ports, separated by colons; empty if no process is known to serve
     */
    public List<String> usableAddresses() {
        List<Member> serving = new ArrayList<>();
        List<Member> suspected = new ArrayList<>();
        for (Member member : peers.view()) {
            boolean self = member.name().equals(peers.self());
            if (self ? !isSelfReady() : !serves(member)) {
                continue;
            }
            (self || member.state() == MemberState.ALIVE ? serving : suspected).add(member);
        }
        // If at least half of the serving processes are suspected at once, it is more likely that this process is
        // disconnected. If it returned only itself, every client that asks it would connect here.
        if (suspected.size() >= serving.size()) {
            serving.addAll(suspected);
        }
        Collections.shuffle(serving);
        return serving.stream().map(member -> member.payload().clientAddress()).toList();
    }

    private static boolean serves(Member member) {
        boolean ready =
                !member.payload().clientAddress().isEmpty() && member.payload().configurationNumber() > 0;
        return ready && (member.state() == MemberState.ALIVE || member.state() == MemberState.SUSPECT);
    }
}
