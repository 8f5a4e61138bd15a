package org.dotterelcourse.coordination.configuration;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.random.RandomGenerator;

import org.dotterelcourse.coordination.Shuffles;

/** How far the peers are by the last that was heard of each; old news costs a pull in vain or a delay, no more. */
final class PeerHeads {

    private final RandomGenerator random;
    private final Map<String, Long> positions = new HashMap<>();
    private List<RelayPeer> roster = List.of();

    PeerHeads(RandomGenerator random) {
        this.random = random;
    }

    void roster(List<RelayPeer> peers) {
        roster = List.copyOf(peers);
        Set<String> names = new HashSet<>();
        for (RelayPeer peer : peers) {
            names.add(peer.name());
        }
        positions.keySet().retainAll(names);
    }

    int rosterSize() {
        return roster.size();
    }

    void note(String peer, long position) {
        if (positions.containsKey(peer) || inRoster(peer)) {
            positions.put(peer, position);
        }
    }

    /** A peer that was said to be ahead but did not answer is not asked again until it is heard of once more. */
    void forget(String peer) {
        positions.remove(peer);
    }

    /** Peers that have anything in force. */
    int established() {
        int count = 0;
        for (long position : positions.values()) {
            if (position > 0) {
                count++;
            }
        }
        return count;
    }

    long highest() {
        long highest = 0;
        for (long position : positions.values()) {
            highest = Math.max(highest, position);
        }
        return highest;
    }

    /** Some peer that is ahead, preferably in the same data centre; null when there is none. */
    RelayPeer ahead(long position) {
        if (highest() <= position) {
            return null;
        }
        RelayPeer far = null;
        for (RelayPeer peer : shuffled()) {
            if (positions.getOrDefault(peer.name(), 0L) <= position) {
                continue;
            }
            if (peer.sameDataCentre()) {
                return peer;
            }
            far = peer;
        }
        return far;
    }

    /**
     * Random peers that are not known to have a position: half of the same data centre, half of any, so that news
     * crosses data centres in one step.
     */
    List<RelayPeer> pick(int count, long position) {
        List<RelayPeer> picked = new ArrayList<>();
        List<RelayPeer> shuffled = shuffled();
        shuffled.removeIf(peer -> positions.getOrDefault(peer.name(), 0L) >= position);
        for (RelayPeer peer : shuffled) {
            if (peer.sameDataCentre() && picked.size() < count / 2) {
                picked.add(peer);
            }
        }
        for (RelayPeer peer : shuffled) {
            if (picked.size() < count && !picked.contains(peer)) {
                picked.add(peer);
            }
        }
        return picked;
    }

    private List<RelayPeer> shuffled() {
        List<RelayPeer> shuffled = new ArrayList<>(roster);
        Shuffles.shuffle(shuffled, random);
        return shuffled;
    }

    private boolean inRoster(String name) {
        for (RelayPeer peer : roster) {
            if (peer.name().equals(name)) {
                return true;
            }
        }
        return false;
    }
}
