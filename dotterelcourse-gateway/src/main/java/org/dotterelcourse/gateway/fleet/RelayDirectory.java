package org.dotterelcourse.gateway.fleet;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;

import org.dotterelcourse.coordination.membership.Member;
import org.dotterelcourse.coordination.membership.MemberState;
import org.dotterelcourse.daemon.kernel.Kernel;
import org.dotterelcourse.daemon.kernel.Service;
import org.dotterelcourse.daemon.kernel.ServiceName;
import org.dotterelcourse.daemon.kernel.StartupFailure;
import org.dotterelcourse.daemon.peers.Peers;
import org.dotterelcourse.gateway.edge.RelayEndpoint;
import org.dotterelcourse.gateway.forward.Forwarder;
import org.dotterelcourse.gateway.forward.Reachability;
import org.dotterelcourse.gateway.forward.RelayPeers;
import org.dotterelcourse.gateway.forward.RelayTarget;
import org.dotterelcourse.policy.relay.RelayCandidate;
import org.dotterelcourse.policy.relay.RelaySelector;

/**
 * Publishes where this process accepts relayed requests and whether it is cut off from the workers, and selects peers by
 * what they have published. Processes of earlier versions publish no port and are never selected.
 */
public final class RelayDirectory implements Service, RelayPeers {
    /** Name of this service in the kernel. */
    public static final ServiceName<RelayDirectory> NAME = new ServiceName<>("relay-directory", RelayDirectory.class);

    /** Time for which a peer that has refused a request is avoided; what it publishes is known to all by then. */
    private static final long REFUSAL_NANOS = 1_000_000_000L;

    /** Peers that are asked about one request although they have just refused another one. */
    private static final int MAX_REFUSING_PEERS = 2;

    private final Map<String, Integer> inFlight = new HashMap<>();
    private final Map<String, Long> refusedNanos = new HashMap<>();
    private final RelaySelector selector = new RelaySelector(RandomGenerator.getDefault());
    private Peers peers;

    @Override
    public ServiceName<RelayDirectory> name() {
        return NAME;
    }

    @Override
    public List<ServiceName<?>> dependencies() {
        return List.of(Peers.NAME, Forwarder.NAME, Reachability.NAME, RelayEndpoint.NAME);
    }

    @Override
    public List<StartupFailure> start(Kernel kernel) {
        peers = kernel.find(Peers.NAME);
        int port = kernel.find(RelayEndpoint.NAME).port();
        peers.updatePayload(payload -> payload.withRelayPort(port));
        kernel.find(Reachability.NAME).onChange(cutOff -> peers.updatePayload(payload -> payload.withCutOff(cutOff)));
        kernel.find(Forwarder.NAME).relayThrough(this);
        return List.of();
    }

    @Override
    public void stop() {
        // Holds no resources.
    }

    @Override
    public String self() {
        return peers.self();
    }

    @Override
    public Optional<RelayTarget> select(Set<String> excluded) {
        Map<String, RelayTarget> targets = new HashMap<>();
        List<RelayCandidate> candidates = new ArrayList<>();
        for (Member member : peers.view()) {
            if (isUsable(member) && !excluded.contains(member.name())) {
                InetSocketAddress address = new InetSocketAddress(
                        member.address().getAddress(), member.payload().relayPort());
                targets.put(member.name(), new RelayTarget(member.name(), address));
                candidates.add(new RelayCandidate(
                        member.name(),
                        member.payload().dataCentre().equals(peers.dataCentre()),
                        member.payload().capacityMillicores(),
                        member.payload().loadPermille(),
                        inFlight.getOrDefault(member.name(), 0)));
            }
        }
        List<RelayCandidate> willing = candidates.stream()
                .filter(candidate -> !hasRefused(candidate.name()))
                .toList();
        List<RelayCandidate> selectable =
                willing.isEmpty() && excluded.size() < MAX_REFUSING_PEERS ? candidates : willing;
        return selector.select(selectable).map(candidate -> targets.get(candidate.name()));
    }

    private boolean hasRefused(String peer) {
        Long nanos = refusedNanos.get(peer);
        return nanos != null && System.nanoTime() - nanos < REFUSAL_NANOS;
    }

    @Override
    public void recordRefusal(String peer) {
        refusedNanos.keySet().removeIf(each -> !hasRefused(each));
        refusedNanos.put(peer, System.nanoTime());
    }

    private boolean isUsable(Member member) {
        return !member.name().equals(peers.self())
                && member.state() == MemberState.ALIVE
                && member.payload().relayPort() > 0
                && member.payload().configurationNumber() > 0
                && !member.payload().cutOff();
    }

    @Override
    public void recordBegin(String peer) {
        inFlight.merge(peer, 1, Integer::sum);
    }

    @Override
    public void recordEnd(String peer) {
        inFlight.merge(peer, -1, (before, change) -> before + change == 0 ? null : before + change);
    }
}
