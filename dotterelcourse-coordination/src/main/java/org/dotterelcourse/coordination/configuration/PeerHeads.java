package org.dotterelcourse.coordination.configuration;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.random.RandomGenerator;

import org.dotterelcourse.coordination.Shuffles;

/** The last known position of each peer. An outdated position only causes a useless pull or a delay. */
final class PeerHeads {

    private final RandomGenerator random;
    private final Map<String, Long> positions = new HashMap<>();
    private List<RelayPeer> peers = List.of();

    PeerHeads(RandomGenerator random) {
        this.random = random;
    }

    void updatePeers(List<RelayPeer> newPeers) {
        peers = List.copyOf(newPeers);
        Set<String> names = new HashSet<>();
        for (RelayPeer peer : newPeers) {
            names.add(peer.name());
        }
        positions.keySet().retainAll(names);
    }

    int peerCount() {
        return peers.size();
    }

    void recordPosition(String peer, long position) {
        if (positions.containsKey(peer) || isPeer(peer)) {
            positions.put(peer, position);
        }
    }

    /**
     * Removes the position of a peer that did not answer a pull. It is pulled from again once its position is reported.
     */
    void forgetPosition(String peer) {
        positions.remove(peer);
    }

    /** Counts the peers with a position above 0. */
    int countEstablished() {
        int count = 0;
        for (long position : positions.values()) {
            if (position > 0) {
                count++;
            }
        }
        return count;
    }

    long highestPosition() {
        long highest = 0;
        for (long position : positions.values()) {
            highest = Math.max(highest, position);
        }
        return highest;
    }

    /** Returns a random peer above the position, preferably of the same data centre, or null if there is none. */
    RelayPeer findAhead(long position) {
        if (highestPosition() <= position) {
            return null;
        }
        RelayPeer remote = null;
        for (RelayPeer peer : shuffledPeers()) {
            if (positions.getOrDefault(peer.name(), 0L) <= position) {
                continue;
            }
            if (peer.sameDataCentre()) {
                return peer;
            }
            remote = peer;
        }
        return remote;
    }

    /**
     * Picks random peers whose position is lower or unknown. The first half is taken from the same data centre if
     * possible, the rest from any data centre, so that an announcement reaches other data centres in one step.
     */
    List<RelayPeer> pickBehind(int count, long position) {
        List<RelayPeer> picked = new ArrayList<>();
        List<RelayPeer> shuffled = shuffledPeers();
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

    private List<RelayPeer> shuffledPeers() {
        List<RelayPeer> shuffled = new ArrayList<>(peers);
        Shuffles.shuffle(shuffled, random);
        return shuffled;
    }

    private boolean isPeer(String name) {
        for (RelayPeer peer : peers) {
            if (peer.name().equals(name)) {
                return true;
            }
        }
        return false;
    }
}
