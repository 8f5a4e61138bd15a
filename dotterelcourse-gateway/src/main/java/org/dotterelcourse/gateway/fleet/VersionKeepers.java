package org.dotterelcourse.gateway.fleet;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;

import com.codahale.metrics.Counter;
import org.dotterelcourse.coordination.collect.CollectorPlan;
import org.dotterelcourse.coordination.membership.Member;
import org.dotterelcourse.coordination.membership.MemberState;
import org.dotterelcourse.coordination.ownership.Rendezvous;
import org.dotterelcourse.daemon.peers.Peers;
import org.dotterelcourse.policy.resumption.StreamKey;

/**
 * The peers that keep what is known of software versions: all in a small fleet, in a larger one a few that all processes
 * determine alike by rendezvous hashing.
 */
final class VersionKeepers {
    /** Peers that keep a key in a fleet that is too large for all of them to keep it. */
    private static final int KEEPERS = 3;

    private final Peers peers;
    private final Counter sentBytes;

    VersionKeepers(Peers peers, Counter sentBytes) {
        this.peers = peers;
        this.sentBytes = sentBytes;
    }

    /** Returns the peers that are alive, without this process. */
    List<Member> others() {
        return peers.view().stream()
                .filter(member -> !member.name().equals(peers.self()) && member.state() == MemberState.ALIVE)
                .toList();
    }

    /** Returns the peers that keep a key. */
    List<Member> of(StreamKey key) {
        List<Member> others = others();
        if (others.size() < CollectorPlan.MAX_DIRECT_PROCESSES) {
            return others;
        }
        Map<String, Member> byName = new HashMap<>();
        others.forEach(member -> byName.put(member.name(), member));
        return Rendezvous.order(Long.toHexString(key.value()), byName.keySet()).stream()
                .limit(KEEPERS)
                .map(byName::get)
                .toList();
    }

    /** Returns the values whose keys a peer keeps, without ranking all peers for each key. */
    <T> List<T> keptBy(Member peer, Collection<T> values, Function<T, StreamKey> key) {
        List<Member> others = others();
        return others.size() < CollectorPlan.MAX_DIRECT_PROCESSES
                ? List.copyOf(values)
                : values.stream()
                        .filter(value -> isKeeper(peer, key.apply(value), others))
                        .toList();
    }

    private static boolean isKeeper(Member peer, StreamKey key, List<Member> others) {
        String text = Long.toHexString(key.value());
        long weight = Rendezvous.weight(text, peer.name());
        return others.stream()
                        .filter(other -> Long.compareUnsigned(Rendezvous.weight(text, other.name()), weight) > 0)
                        .limit(KEEPERS)
                        .count()
                < KEEPERS;
    }

    /** Groups values by the peers that keep their keys. */
    <T> Map<Member, List<T>> group(Collection<T> values, Function<T, StreamKey> key) {
        Map<StreamKey, List<Member>> byKey = new HashMap<>();
        Map<Member, List<T>> groups = new LinkedHashMap<>();
        for (T value : values) {
            byKey.computeIfAbsent(key.apply(value), this::of)
                    .forEach(keeper -> groups.computeIfAbsent(keeper, member -> new ArrayList<>())
                            .add(value));
        }
        return groups;
    }

    /** Returns the workers that this process reads, if each is read by one process. */
    List<String> assigned(Collection<String> workers) {
        List<String> names = others().stream().map(Member::name).toList();
        return workers.stream().filter(worker -> isAssigned(worker, names)).toList();
    }

    private boolean isAssigned(String worker, List<String> others) {
        long own = Rendezvous.weight(worker, peers.self());
        return others.stream().noneMatch(other -> Long.compareUnsigned(Rendezvous.weight(worker, other), own) > 0);
    }

    void send(Member member, String channel, byte[] body) {
        sentBytes.inc(body.length);
        FleetMessages.send(peers.transport(), member, channel, body);
    }
}
