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

/** Which addresses a client may connect to, by what this process knows of its peers. */
public final class ClientAddresses implements Service {
    /** The name that it is found by. */
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
        // It only answers.
    }

    /**
     * Whether this process should get requests.
     *
     * @return true once it can serve, until its shutdown begins
     */
    public boolean isSelfReady() {
        return state.isReady() && !shutdown.hasBegun();
    }

    /**
     * The addresses of processes that serve, in random order.
     *
     * @return IP numbers and ports; empty if none is known
     */
    public List<String> usableAddresses() {
        List<Member> serving = new ArrayList<>();
        List<Member> suspects = new ArrayList<>();
        for (Member member : peers.view()) {
            boolean self = member.name().equals(peers.self());
            if (self ? !isSelfReady() : !serves(member)) {
                continue;
            }
            (self || member.state() == MemberState.ALIVE ? serving : suspects).add(member);
        }
        // Where most others are suspected at once, this process is rather the one that is cut off; if it named itself
        // alone, every client that asks it would come here.
        if (suspects.size() >= serving.size()) {
            serving.addAll(suspects);
        }
        Collections.shuffle(serving);
        return serving.stream().map(member -> member.payload().clientAddress()).toList();
    }

    private static boolean serves(Member member) {
        boolean told =
                !member.payload().clientAddress().isEmpty() && member.payload().configurationNumber() > 0;
        return told && (member.state() == MemberState.ALIVE || member.state() == MemberState.SUSPECT);
    }
}
