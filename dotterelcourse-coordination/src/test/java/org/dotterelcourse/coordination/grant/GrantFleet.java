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

/** Members with clocks of their own, three workers, and a lossy wire; counts what the workers run. */
final class GrantFleet {
    static final long MILLI = 1_000_000L;
    static final long STEP = 5 * MILLI;
    static final int PLACES = 4;
    static final long NEVER = Long.MAX_VALUE / 4;

    final SplittableRandom random;
    final LossyNetwork wire;
    final GrantSettings settings;
    final List<GrantNode> nodes = new ArrayList<>();
    final Map<Integer, FleetRequest> requests = new LinkedHashMap<>();
    final Map<String, Integer> active = new HashMap<>();
    final Set<GrantId> expired = new HashSet<>();
    final long maxViewDelay;
    int mostActive;
    int leasesExpired;
    long now;

    /** One request as the caller sees it. */
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

    GrantFleet(long seed, int members, GrantSettings settings, long maxViewDelay) {
        this.random = new SplittableRandom(seed);
        this.wire = new LossyNetwork(random);
        this.settings = settings;
        this.maxViewDelay = maxViewDelay;
        for (int i = 0; i < members; i++) {
            nodes.add(new GrantNode(this, "entry-" + i, random.nextLong(1L << 40)));
        }
        publishOwners();
    }

    static Map<String, Integer> capacity(int places) {
        Map<String, Integer> capacity = new LinkedHashMap<>();
        for (int i = 0; i < 3; i++) {
            capacity.put("llm-" + i, places);
        }
        return capacity;
    }

    /** Gives each member its side's lowest living member as owner, after a delay of its own. */
    void publishOwners() {
        for (GrantNode node : nodes) {
            node.sees(ownerOf(wire.partitionOf(node.name)), now + random.nextLong(maxViewDelay));
        }
    }

    Optional<String> ownerOf(int side) {
        for (GrantNode node : nodes) {
            if (node.alive && wire.partitionOf(node.name) == side) {
                return Optional.of(node.name);
            }
        }
        return Optional.empty();
    }

    Set<String> living(int side) {
        Set<String> living = new HashSet<>();
        for (GrantNode node : nodes) {
            if (node.alive && wire.partitionOf(node.name) == side) {
                living.add(node.name);
            }
        }
        return living;
    }

    void request(GrantNode at, long durationNanos) {
        FleetRequest request = new FleetRequest(requests.size(), durationNanos);
        request.arrivalNanos = at.clock();
        requests.put(request.id, request);
        at.ask(request);
    }

    void started(FleetRequest request, String worker) {
        request.executions++;
        assertThat(request.executions).as("executions of %d", request.id).isOne();
        request.worker = worker;
        mostActive = Math.max(mostActive, active.merge(worker, 1, Integer::sum));
    }

    void stopped(FleetRequest request) {
        active.merge(request.worker, -1, Integer::sum);
        request.answered = true;
    }

    void notRun(FleetRequest request) {
        assertThat(request.executions).as("a request said not to have run").isZero();
        request.answered = true;
    }

    void step() {
        now += STEP;
        for (LossyNetwork.Packet packet : wire.arrived(now)) {
            node(packet.to()).receive(packet);
        }
        for (GrantNode node : nodes) {
            node.step();
        }
    }

    void run(long nanos) {
        long until = now + nanos;
        while (now < until) {
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
