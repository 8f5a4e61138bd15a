package org.dotterelcourse.coordination.grant;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Simulation of members with their own clocks, three workers and a lossy network. Counts the requests that each worker
 * runs.
 */
final class GrantFleet {
    static final long MILLI_NANOS = 1_000_000L;
    static final long STEP_NANOS = 5 * MILLI_NANOS;
    static final int SLOTS = 4;
    static final long NEVER_NANOS = Long.MAX_VALUE / 4;

    final SplittableRandom random;
    final LossyNetwork network;
    final GrantSettings settings;
    final List<GrantNode> nodes = new ArrayList<>();
    final Map<Integer, FleetRequest> requests = new LinkedHashMap<>();
    final Map<String, Integer> active = new HashMap<>();
    final Set<GrantId> expiredGrants = new HashSet<>();
    final long maxViewDelayNanos;
    int peakActive;
    int expiredLeases;
    long nowNanos;

    /** One request from the caller's point of view. */
    static final class FleetRequest {
        final int id;
        final long durationNanos;
        long arrivalNanos;
        int executions;
        boolean answered;
        String worker;

        FleetRequest(int id, long durationNanos) {
            this.id = id;
            this.durationNanos = durationNanos;
        }
    }

    GrantFleet(long seed, int members, GrantSettings settings, long maxViewDelayNanos) {
        this.random = new SplittableRandom(seed);
        this.network = new LossyNetwork(random);
        this.settings = settings;
        this.maxViewDelayNanos = maxViewDelayNanos;
        for (int i = 0; i < members; i++) {
            nodes.add(new GrantNode(this, "entry-" + i, random.nextLong(1L << 40)));
        }
        publishOwners();
    }

    static Map<String, Integer> capacity(int slots) {
        Map<String, Integer> capacity = new LinkedHashMap<>();
        for (int i = 0; i < 3; i++) {
            capacity.put("llm-" + i, slots);
        }
        return capacity;
    }

    /** Makes each member see the first live member of its partition as the owner, after its own random delay. */
    void publishOwners() {
        for (GrantNode node : nodes) {
            node.setOwnerView(ownerOf(network.partitionOf(node.name)), nowNanos + random.nextLong(maxViewDelayNanos));
        }
    }

    Optional<String> ownerOf(int partition) {
        for (GrantNode node : nodes) {
            if (node.alive && network.partitionOf(node.name) == partition) {
                return Optional.of(node.name);
            }
        }
        return Optional.empty();
    }

    Set<String> liveMembers(int partition) {
        Set<String> members = new HashSet<>();
        for (GrantNode node : nodes) {
            if (node.alive && network.partitionOf(node.name) == partition) {
                members.add(node.name);
            }
        }
        return members;
    }

    void request(GrantNode node, long durationNanos) {
        FleetRequest request = new FleetRequest(requests.size(), durationNanos);
        request.arrivalNanos = node.clockNanos();
        requests.put(request.id, request);
        node.ask(request);
    }

    void recordStart(FleetRequest request, String worker) {
        request.executions++;
        assertThat(request.executions).as("executions of %d", request.id).isOne();
        request.worker = worker;
        peakActive = Math.max(peakActive, active.merge(worker, 1, Integer::sum));
    }

    void recordStop(FleetRequest request) {
        active.merge(request.worker, -1, Integer::sum);
        request.answered = true;
    }

    void recordNotRun(FleetRequest request) {
        assertThat(request.executions)
                .as("executions of a request reported as not run")
                .isZero();
        request.answered = true;
    }

    void step() {
        nowNanos += STEP_NANOS;
        for (LossyNetwork.Packet packet : network.pollArrived(nowNanos)) {
            node(packet.to()).receive(packet);
        }
        for (GrantNode node : nodes) {
            node.step();
        }
    }

    void run(long nanos) {
        long endNanos = nowNanos + nanos;
        while (nowNanos < endNanos) {
            step();
        }
    }

    long unanswered() {
        return requests.values().stream().filter(request -> !request.answered).count();
    }

    GrantNode node(String name) {
        return nodes.stream().filter(node -> node.name.equals(name)).findFirst().orElseThrow();
    }

    GrantNode anyNode() {
        return nodes.get(random.nextInt(nodes.size()));
    }
}
