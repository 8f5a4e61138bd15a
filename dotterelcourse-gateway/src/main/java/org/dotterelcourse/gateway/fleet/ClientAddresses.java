package org.dotterelcourse.gateway.fleet;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import org.dotterelcourse.coordination.MemberId;
import org.dotterelcourse.coordination.membership.Member;
import org.dotterelcourse.coordination.membership.MemberState;
import org.dotterelcourse.daemon.kernel.Kernel;
import org.dotterelcourse.daemon.kernel.Service;
import org.dotterelcourse.daemon.kernel.ServiceName;
import org.dotterelcourse.daemon.kernel.StartupFailure;
import org.dotterelcourse.daemon.peers.Peers;
import org.dotterelcourse.gateway.GatewayLoop;
import org.dotterelcourse.gateway.GatewayState;
import org.dotterelcourse.gateway.Poller;
import org.dotterelcourse.gateway.edge.ClientHttpServer;
import org.dotterelcourse.gateway.edge.Shutdown;
import org.dotterelcourse.gateway.metrics.GatewayMetrics;
import org.dotterelcourse.policy.distribution.ClientDistribution;
import org.dotterelcourse.policy.distribution.LoadLevel;
import org.dotterelcourse.policy.distribution.ServingMember;
import org.jboss.logging.Logger;

/** Lists the addresses that clients may connect to, according to this process's view of the fleet. */
public final class ClientAddresses implements Service {
    /** Name of this service in the kernel. */
    public static final ServiceName<ClientAddresses> NAME =
            new ServiceName<>("client-addresses", ClientAddresses.class);

    private static final Logger LOG = Logger.getLogger(ClientAddresses.class);

    private static final double MILLICORES_PER_CORE = 1_000;

    /** Period at which the load of this process is measured. */
    private static final long LOAD_PERIOD_MILLIS = 1_000;

    /** Time after its start for which a process counts as warming: its first seconds of work run uncompiled code. */
    private static final long WARMING_NANOS = 5_000_000_000L;

    /**
     * Period after which a client gets other members of lower weight. Without it, a deployment with few clients would never
     * use some VMs.
     */
    private static final long ROTATION_MILLIS = 10_000;

    private final double capacityCores;
    private final LoadLevel loadLevel = new LoadLevel();
    private final Map<MemberId, Long> firstSeenNanos = new HashMap<>();
    private int publishedLoad;
    private Peers peers;
    private Shutdown shutdown;
    private GatewayState state;
    private GatewayLoop loop;
    private Counter responses;
    private Counter returnedAddresses;

    /**
     * Creates the service.
     *
     * @param capacityCores processor capacity of this process's VM in cores; 0 if unknown
     */
    public ClientAddresses(double capacityCores) {
        this.capacityCores = capacityCores;
    }

    @Override
    public ServiceName<ClientAddresses> name() {
        return NAME;
    }

    @Override
    public List<ServiceName<?>> dependencies() {
        return List.of(
                GatewayLoop.NAME,
                GatewayMetrics.NAME,
                Peers.NAME,
                Shutdown.NAME,
                GatewayState.NAME,
                ClientHttpServer.NAME);
    }

    @Override
    public List<StartupFailure> start(Kernel kernel) {
        peers = kernel.find(Peers.NAME);
        shutdown = kernel.find(Shutdown.NAME);
        state = kernel.find(GatewayState.NAME);
        loop = kernel.find(GatewayLoop.NAME);
        MetricRegistry metrics = kernel.find(GatewayMetrics.NAME).registry();
        responses = metrics.counter("gateway.capacity.responses");
        returnedAddresses = metrics.counter("gateway.capacity.addresses");
        metrics.gauge("gateway.capacity.load_permille", () -> () -> publishedLoad);
        peers.publishCallersPort(kernel.find(ClientHttpServer.NAME).port());
        if (capacityCores > 0) {
            int millicores = (int) Math.round(capacityCores * MILLICORES_PER_CORE);
            peers.updatePayload(payload -> payload.withCapacity(millicores));
            new Poller(run -> loop.runAtNextMultiple(LOAD_PERIOD_MILLIS, run), this::measureLoad).start();
        }
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

    /** Returns true: the load is measured until the process ends. */
    private boolean measureLoad() {
        int load = loadLevel.update(loop.lagMillis(), loop.nowNanos());
        if (load != publishedLoad) {
            LOG.infof(
                    "event loop is %.0f ms late on average, publishing a load of %d permille in place of %d",
                    loadLevel.averageLagMillis(), load, publishedLoad);
            publishedLoad = load;
            peers.updatePayload(payload -> payload.withLoad(load));
        }
        return true;
    }

    /**
     * Returns the addresses of processes that a client should use, in random order. Processes with little spare capacity are
     * returned to a part of the clients only.
     *
     * @param client identifies the client; equal values mostly get the same addresses
     * @return IP addresses and ports, separated by colons; empty if no process is known to serve
     */
    public List<String> usableAddresses(String client) {
        List<ServingMember> members = usableMembers();
        long period = System.currentTimeMillis() / ROTATION_MILLIS;
        List<String> addresses = new ArrayList<>(ClientDistribution.select(members, client + "/" + period));
        responses.inc();
        returnedAddresses.inc(addresses.size());
        Collections.shuffle(addresses);
        return addresses;
    }

    private List<ServingMember> usableMembers() {
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
        // Members without a link to the workers serve through others, at twice the cost. If all state that they have
        // none,
        // none of them is better than another.
        List<Member> linked =
                serving.stream().filter(member -> !member.payload().cutOff()).toList();
        if (!linked.isEmpty()) {
            serving = linked;
        }
        long nowNanos = loop.nowNanos();
        // Members that are suspected for a while have not restarted, so all that are in the view are kept.
        firstSeenNanos.keySet().retainAll(peers.view().stream().map(Member::id).collect(Collectors.toSet()));
        return serving.stream().map(member -> toServing(member, nowNanos)).toList();
    }

    private ServingMember toServing(Member member, long nowNanos) {
        long firstSeen = firstSeenNanos.computeIfAbsent(member.id(), id -> nowNanos);
        return new ServingMember(
                member.payload().clientAddress(),
                member.payload().capacityMillicores(),
                member.payload().loadPermille(),
                nowNanos - firstSeen < WARMING_NANOS);
    }

    private static boolean serves(Member member) {
        boolean ready =
                !member.payload().clientAddress().isEmpty() && member.payload().configurationNumber() > 0;
        return ready && (member.state() == MemberState.ALIVE || member.state() == MemberState.SUSPECT);
    }
}
